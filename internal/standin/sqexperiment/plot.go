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
	// smoothingBins is the width of the moving average, in bins of sqload.BinWidth.
	smoothingBins = 5
	rateTicks     = 5
	legendStep    = 18
)

var lineColours = []string{"#1b7837", "#d6604d", "#4393c3", "#762a83", "#b8860b"}

// plot is the data of plotTemplate: goodput over time with a line for each variant,
// and the span of the cause shaded.
type plot struct {
	Title                 string
	Width, Height, Margin int
	CauseX, CauseWidth    float64
	Lines                 []line
	Ticks                 []tick
}

// line is one curve with its entry in the legend.
type line struct {
	Name, Colour, Points, Dash string
	LegendY                    int
}

// tick is a label of an axis. Axis is its SVG text anchor.
type tick struct {
	X, Y  float64
	Label string
	Axis  string
}

// plot returns the plot of the first seed's runs, with the offered load of the first
// of them.
func (r *Report) plot(f *File) *plot {
	runs := r.firstSeedRuns()
	maxRate := 1.0
	for _, run := range runs {
		maxRate = max(maxRate, peakRate(run.Goodput), min(peakRate(run.Offered), 2*run.Figures.Capacity))
	}
	maxRate = math.Ceil(maxRate/50) * 50
	axis := axes{duration: time.Duration(f.Duration).Seconds(), maxRate: maxRate}
	p := &plot{
		Title: r.Title, Width: plotWidth, Height: plotHeight, Margin: plotMargin,
		CauseX: axis.x(time.Duration(f.CauseFrom).Seconds()),
	}
	p.CauseWidth = axis.x(time.Duration(f.CauseFrom+f.CauseFor).Seconds()) - p.CauseX
	p.Ticks = axis.ticks()
	for i, run := range runs {
		if i == 0 {
			p.addLine("offered", "#888888", "4 3", axis.points(run.Offered))
		}
		p.addLine(run.Variant, lineColours[i%len(lineColours)], "none", axis.points(run.Goodput))
	}
	return p
}

// addLine adds a curve; its legend entry goes below those of earlier curves.
func (p *plot) addLine(name, colour, dash, points string) {
	y := plotMargin + legendStep*(len(p.Lines)+1)
	p.Lines = append(p.Lines, line{Name: name, Colour: colour, Dash: dash, Points: points, LegendY: y})
}

// firstSeedRuns returns the runs with the seed of the first run.
func (r *Report) firstSeedRuns() []Run {
	var out []Run
	for _, run := range r.Runs {
		if run.Seed == r.Runs[0].Seed {
			out = append(out, run)
		}
	}
	return out
}

// smoothedRate returns the moving average around one bin, in requests per second.
func smoothedRate(bins []int, bin int) float64 {
	total, n := 0, 0
	for i := max(0, bin-smoothingBins/2); i <= bin+smoothingBins/2 && i < len(bins); i++ {
		total, n = total+bins[i], n+1
	}
	return float64(total) / (float64(n) * sqload.BinWidth.Seconds())
}

func peakRate(bins []int) float64 {
	top := 0.0
	for i := range bins {
		top = max(top, smoothedRate(bins, i))
	}
	return top
}

// axes maps seconds and requests per second to pixels.
type axes struct {
	duration float64
	maxRate  float64
}

func (a axes) x(seconds float64) float64 {
	return plotMargin + seconds/a.duration*(plotWidth-2*plotMargin)
}

func (a axes) y(rate float64) float64 {
	return plotHeight - plotMargin - min(rate, a.maxRate)/a.maxRate*(plotHeight-2*plotMargin)
}

// points returns the smoothed rates as the points of an SVG polyline.
func (a axes) points(bins []int) string {
	var b strings.Builder
	for i := range bins {
		seconds := float64(i) * sqload.BinWidth.Seconds()
		if seconds > a.duration {
			break
		}
		fmt.Fprintf(&b, "%.1f,%.1f ", a.x(seconds), a.y(smoothedRate(bins, i)))
	}
	return b.String()
}

// ticks returns the labels of both axes.
func (a axes) ticks() []tick {
	var all []tick
	for i := range rateTicks + 1 {
		rate := a.maxRate * float64(i) / rateTicks
		all = append(all, tick{X: plotMargin - 6, Y: a.y(rate) + 4, Label: fmt.Sprintf("%.0f", rate), Axis: "end"})
	}
	const everySeconds = 5
	for s := 0.0; s <= a.duration; s += everySeconds {
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
