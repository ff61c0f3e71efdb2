package sqexperiment

import (
	"fmt"
	"io"
	"math"
	"strings"
	"text/template"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
)

// The size of a plot in pixels.
const (
	plotWidth  = 900
	plotHeight = 360
	plotMargin = 50
	// smoothBins is the number of bins of a moving average.
	smoothBins = 5
	ticksY     = 5
	legendStep = 18
)

var lineColours = []string{"#1b7837", "#d6604d", "#4393c3", "#762a83", "#b8860b"}

// plot is goodput over time, a line for each variant.
type plot struct {
	Title                 string
	Width, Height, Margin int
	CauseX, CauseWidth    float64
	Lines                 []line
	Ticks                 []tick
}

type line struct {
	Name, Colour, Points, Dash string
	LegendY                    int
}

type tick struct {
	X, Y  float64
	Label string
	Axis  string
}

// plot returns the plot of the first seed's runs, with what was offered.
func (r *Report) plot(f *File) *plot {
	first := r.firstSeed()
	top := 1.0
	for _, run := range first {
		top = max(top, peak(run.Goodput), min(peak(run.Offered), 2*run.Figures.Capacity))
	}
	top = math.Ceil(top/50) * 50
	axis := axes{end: time.Duration(f.Duration).Seconds(), top: top}
	p := &plot{
		Title: r.Title, Width: plotWidth, Height: plotHeight, Margin: plotMargin,
		CauseX: axis.x(time.Duration(f.CauseFrom).Seconds()),
	}
	p.CauseWidth = axis.x(time.Duration(f.CauseFrom+f.CauseFor).Seconds()) - p.CauseX
	p.Ticks = axis.ticks()
	for i, run := range first {
		if i == 0 {
			p.add("offered", "#888888", "4 3", axis.points(run.Offered))
		}
		p.add(run.Variant, lineColours[i%len(lineColours)], "none", axis.points(run.Goodput))
	}
	return p
}

func (p *plot) add(name, colour, dash, points string) {
	y := plotMargin + legendStep*(len(p.Lines)+1)
	p.Lines = append(p.Lines, line{Name: name, Colour: colour, Dash: dash, Points: points, LegendY: y})
}

func (r *Report) firstSeed() []Run {
	var out []Run
	for _, run := range r.Runs {
		if run.Seed == r.Runs[0].Seed {
			out = append(out, run)
		}
	}
	return out
}

func perSecond(bins []int, at int) float64 {
	total, n := 0, 0
	for i := max(0, at-smoothBins/2); i <= at+smoothBins/2 && i < len(bins); i++ {
		total, n = total+bins[i], n+1
	}
	return float64(total) / (float64(n) * sqload.BinSpan.Seconds())
}

func peak(bins []int) float64 {
	top := 0.0
	for i := range bins {
		top = max(top, perSecond(bins, i))
	}
	return top
}

// axes maps seconds and requests a second to pixels.
type axes struct {
	end float64
	top float64
}

func (a axes) x(seconds float64) float64 {
	return plotMargin + seconds/a.end*(plotWidth-2*plotMargin)
}

func (a axes) y(rate float64) float64 {
	return plotHeight - plotMargin - min(rate, a.top)/a.top*(plotHeight-2*plotMargin)
}

func (a axes) points(bins []int) string {
	var b strings.Builder
	for i := range bins {
		seconds := float64(i) * sqload.BinSpan.Seconds()
		if seconds > a.end {
			break
		}
		fmt.Fprintf(&b, "%.1f,%.1f ", a.x(seconds), a.y(perSecond(bins, i)))
	}
	return b.String()
}

func (a axes) ticks() []tick {
	var all []tick
	for i := range ticksY + 1 {
		rate := a.top * float64(i) / ticksY
		all = append(all, tick{X: plotMargin - 6, Y: a.y(rate) + 4, Label: fmt.Sprintf("%.0f", rate), Axis: "end"})
	}
	const everySeconds = 5
	for s := 0.0; s <= a.end; s += everySeconds {
		all = append(all, tick{X: a.x(s), Y: plotHeight - plotMargin + 16, Label: fmt.Sprintf("%.0f s", s), Axis: "middle"})
	}
	return all
}

var plotTemplate = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-family="sans-serif" font-size="12">
<rect width="100%" height="100%" fill="white"/>
<text x="{{.Margin}}" y="20" font-size="14">{{html .Title}}</text>
<text x="{{.Margin}}" y="38" fill="#555555">whole requests a second; shaded: the cause holds</text>
<rect x="{{printf "%.1f" .CauseX}}" y="{{.Margin}}" width="{{printf "%.1f" .CauseWidth}}" height="260" fill="#eeeeee"/>
{{range .Ticks}}<text x="{{printf "%.1f" .X}}" y="{{printf "%.1f" .Y}}" text-anchor="{{.Axis}}" fill="#555555">{{.Label}}</text>
{{end}}{{range .Lines}}<polyline fill="none" stroke="{{.Colour}}" stroke-width="1.6" stroke-dasharray="{{.Dash}}" points="{{.Points}}"/>
<text x="760" y="{{.LegendY}}" fill="{{.Colour}}">{{html .Name}}</text>
{{end}}</svg>
`))

func (p *plot) write(w io.Writer) error {
	return plotTemplate.Execute(w, p)
}
