package sqdaemon

import (
	"io"
	"net/http"
	"testing"
)

// BenchmarkPath compares calls through an entry and a gate, on one host and on two, with
// direct calls.
func BenchmarkPath(b *testing.B) {
	f := newFleet(b, 2, planAllowing(0, "near", "far"))
	answer := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }
	f.target(0, "near", answer)
	f.target(1, "far", answer)
	direct := f.nodes[1].targets.All()[0].Address
	for name, url := range map[string]string{
		"direct":  "http://" + direct + "/x",
		"oneHost": f.nodes[0].caller.URL + "/near/x",
		"twoHost": f.nodes[0].caller.URL + "/far/x",
	} {
		b.Run(name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					benchCall(b, client, url)
				}
			})
		})
	}
}

func benchCall(b *testing.B, client *http.Client, url string) {
	r, _ := http.NewRequest(http.MethodGet, url, nil)
	r.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := client.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status)
	}
}
