package burn

import (
	"fmt"
	"html/template"
	"io"
	"text/tabwriter"
)

// Print writes a report as text.
func Print(w io.Writer, r Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := "SERVICE\tCUSTOMER\tOFFERED\tATTAINED\tOBJECTIVE\tBUDGET SPENT"
	for _, window := range Windows {
		header += "\tBURN " + windowName(window)
	}
	if _, err := fmt.Fprintln(table, header+"\tPAGES\tREFUSED WITHIN RATE"); err != nil {
		return err
	}
	for _, row := range append(append([]Row{}, r.Services...), r.Customers...) {
		if err := printRow(table, row); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if r.Worst == nil {
		_, err := fmt.Fprintln(w, "no calls were offered")
		return err
	}
	_, err := fmt.Fprintf(w, "worst-served customer: %s at %s, %.2f%% attained\n",
		r.Worst.Customer, r.Worst.Service, percent(r.Worst.Attainment))
	return err
}

// printRow writes the row of one series.
func printRow(w io.Writer, row Row) error {
	customer := row.Customer
	if customer == "" {
		customer = "(all)"
	}
	line := fmt.Sprintf("%s\t%s\t%.0f\t%.2f%%\t%.2f%%\t%.0f%%", row.Service, customer,
		row.Offered, percent(row.Attainment), percent(row.Objective), percent(row.BudgetSpent))
	for _, window := range Windows {
		line += fmt.Sprintf("\t%.1f", row.BurnRates[windowName(window)])
	}
	_, err := fmt.Fprintf(w, "%s\t%v\t%.0f\n", line, row.Pages, row.RefusedWithinRate)
	return err
}

// percent converts a fraction.
func percent(fraction float64) float64 { return 100 * fraction }

const (
	barWidth        = 400.0 // width of a full bar in pixels
	fullBarBurnRate = 14.4  // burn rate shown as a full bar; it equals the threshold of the 1-hour alert
)

// pageTemplate renders a self-contained HTML page with SVG bar charts.
var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": percent,
	"windows": func() (names []string) {
		for _, w := range Windows {
			names = append(names, windowName(w))
		}
		return names
	},
	"share": func(fraction float64) float64 { return barWidth * min(1, max(0, fraction)) },
	"burn":  func(rate float64) float64 { return barWidth * min(1, rate/fullBarBurnRate) },
}).Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>Service-level burn</title>
<style>
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; }
td, th { padding: 4px 10px; text-align: right; border-bottom: 1px solid #ddd; }
td:first-child, td:nth-child(2) { text-align: left; }
.pages { color: #b00; font-weight: bold; }
</style>
<h1>Service-level burn</h1>
{{with .Worst}}<p>Worst-served customer: <b>{{.Customer}}</b> at {{.Service}},
{{printf "%.2f" (percent .Attainment)}}% attained.</p>{{else}}<p>No calls were offered.</p>{{end}}
{{define "rows"}}<table>
<tr><th>Service</th><th>Customer</th><th>Offered</th><th>Attained</th><th>Objective</th><th>Budget spent</th>
{{range windows}}<th>Burn {{.}}</th>{{end}}<th>Refused within rate</th><th>Attainment</th><th>Burn 1h</th></tr>
{{range .}}{{$row := .}}<tr{{if .Pages}} class="pages"{{end}}><td>{{.Service}}</td><td>{{.Customer}}</td>
<td>{{printf "%.0f" .Offered}}</td><td>{{printf "%.2f" (percent .Attainment)}}%</td>
<td>{{printf "%.2f" (percent .Objective)}}%</td><td>{{printf "%.0f" (percent .BudgetSpent)}}%</td>
{{range windows}}<td>{{printf "%.1f" (index $row.BurnRates .)}}</td>{{end}}
<td>{{printf "%.0f" .RefusedWithinRate}}</td>
<td><svg width="400" height="14" role="img"><rect width="400" height="14" fill="#eee"/>
<rect width="{{printf "%.1f" (share .Attainment)}}" height="14" fill="#393"/>
<rect x="{{printf "%.1f" (share .Objective)}}" width="1" height="14" fill="#000"/></svg></td>
<td><svg width="400" height="14" role="img"><rect width="400" height="14" fill="#eee"/>
<rect width="{{printf "%.1f" (burn (index .BurnRates "1h"))}}" height="14" fill="#b00"/></svg></td></tr>
{{end}}</table>{{end}}
<h2>Services</h2>{{template "rows" .Services}}
<h2>Customers</h2>{{template "rows" .Customers}}
<p>A full burn bar is a rate of 14.4, at which the 5-minute and 1-hour windows page.</p>
</html>
`))

// WriteHTML writes a report as a self-contained HTML page.
func WriteHTML(w io.Writer, r Report) error { return pageTemplate.Execute(w, r) }
