package report

import (
	"html/template"
	"io"
	"time"

	"github.com/go-analyze/charts"
)

// Size of a plot in pixels.
const (
	plotWidth  = 1100
	plotHeight = 280
	// maxTimeLabels is the highest number of times on the axis of a plot.
	maxTimeLabels = 8
)

// page is the content of the HTML page.
type page struct {
	Start         time.Time
	End           time.Time
	Step          time.Duration
	Requests      int
	Dropped       int
	Sections      []section
	LeaderChanges []LeaderChange
}

// section is a plot with its totals. Plot is empty if there were no events.
type section struct {
	Title  string
	Plot   template.HTML
	Totals []total
}

var pageTemplate = template.Must(template.New("fleet").Funcs(template.FuncMap{
	"clock": func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05.000") },
}).Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>Fleet report</title>
<style>
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; }
td, th { padding: 2px 10px; text-align: left; border-bottom: 1px solid #ddd; }
td.count { text-align: right; }
</style>
<h1>Fleet report</h1>
<p>From {{clock .Start}} to {{clock .End}} UTC. {{.Requests}} requests; {{.Dropped}} more were left out
of the logs. Plots show events a second, with a point each {{.Step}}.</p>
{{range .Sections}}<h2>{{.Title}}</h2>
{{if .Totals}}{{.Plot}}
<table>{{range .Totals}}<tr><td>{{.Value}}</td><td class="count">{{.Count}}</td></tr>
{{end}}</table>{{else}}<p>None.</p>{{end}}
{{end}}<h2>Leader changes in order</h2>
{{if .LeaderChanges}}<table>
{{range .LeaderChanges}}<tr><td>{{clock .Time}}</td><td>{{.Host}}</td><td>{{.Message}}</td><td>{{.Subject}}</td></tr>
{{end}}</table>{{else}}<p>None.</p>{{end}}
</html>
`))

// WriteHTML writes the summary as an HTML page that needs no other files.
func (f *Fleet) WriteHTML(w io.Writer) error {
	content := page{
		Start:         f.span.start,
		End:           f.span.end,
		Step:          f.span.step,
		Requests:      f.requests,
		Dropped:       f.dropped,
		LeaderChanges: f.leaderChanges,
	}
	for _, t := range f.tallies() {
		plot, err := t.plot(f.span)
		if err != nil {
			return err
		}
		content.Sections = append(content.Sections, section{
			Title:  t.title,
			Plot:   plot,
			Totals: t.totals(),
		})
	}
	return pageTemplate.Execute(w, content)
}

// plot returns the lines of a tally as an SVG image, empty if there were no events.
func (t *tally) plot(s span) (template.HTML, error) {
	if len(t.events) == 0 {
		return "", nil
	}
	var names []string
	var values [][]float64
	for _, l := range t.lines(s) {
		names = append(names, l.name)
		values = append(values, l.perSecond)
	}
	painter, err := charts.LineRender(values,
		charts.SVGOutputOptionFunc(),
		charts.DimensionsOptionFunc(plotWidth, plotHeight),
		charts.LegendLabelsOptionFunc(names),
		charts.XAxisOptionFunc(charts.XAxisOption{
			Labels:     s.labels(),
			LabelCount: maxTimeLabels,
		}),
		func(options *charts.ChartOption) { options.Symbol.Shape = charts.SymbolNone })
	if err != nil {
		return "", err
	}
	image, err := painter.Bytes()
	return template.HTML(image), err
}

// labels returns the time of day of each point.
func (s span) labels() []string {
	labels := make([]string, s.points())
	for i := range labels {
		labels[i] = s.start.Add(time.Duration(i) * s.step).UTC().Format(time.TimeOnly)
	}
	return labels
}
