package sqstore

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
)

const maxFaultBytes = 4 << 10

// Handler returns the HTTP handler of the fault API, which the package comment
// describes.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/faults", s.getFaults).Methods(http.MethodGet)
	r.HandleFunc("/v1/faults", s.putFaults).Methods(http.MethodPut)
	r.HandleFunc("/v1/counts", s.getCounts).Methods(http.MethodGet)
	r.HandleFunc("/v1/save", handle(s.Save)).Methods(http.MethodPost)
	r.HandleFunc("/v1/restore", handle(s.Restore)).Methods(http.MethodPost)
	r.HandleFunc("/v1/compact", handle(s.Compact)).Methods(http.MethodPost)
	return r
}

func handle(f func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		f()
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Store) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Faults())
}

func (s *Store) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counts())
}

func (s *Store) putFaults(w http.ResponseWriter, r *http.Request) {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes))
	d.DisallowUnknownFields()
	var f Faults
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
