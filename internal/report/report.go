// Package report writes the results of benchmarks as a self-contained HTML page
// with plots.
//
//	err := report.Write("out", results, report.Run{Revision: revision, Go: runtime.Version()})
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"lavenderdeal/internal/measure"
)

const (
	// width and height are the size of a plot.
	width  = 16 * vg.Centimeter
	height = 9 * vg.Centimeter
	// barWidth and glyphRadius are in points.
	barWidth      = 8
	glyphRadius   = 1.2
	filePerm      = 0o644
	directoryPerm = 0o755
	// maxLinePoints is the number of points above which a series is drawn as
	// separate points instead of a line.
	maxLinePoints = 200
)

// palette holds the colors of the series in a plot. Further series use it again from
// the start.
var palette = []color.Color{
	color.RGBA{R: 0x6a, G: 0x3d, B: 0x9a, A: 0xff},
	color.RGBA{R: 0xe3, G: 0x7a, B: 0x1c, A: 0xff},
	color.RGBA{R: 0x1f, G: 0x78, B: 0xb4, A: 0xff},
	color.RGBA{R: 0x33, G: 0x8a, B: 0x2c, A: 0xff},
	color.RGBA{R: 0xc0, G: 0x2c, B: 0x38, A: 0xff},
}

// Run describes the program and machine that produced the results.
type Run struct {
	// Revision is the revision of the source code.
	Revision string
	// Go is the version of Go.
	Go string
	// Cores is the number of the machine's logical processors.
	Cores int
	// Date is printed as it is.
	Date string
}

// page is the data of pageTemplate.
type page struct {
	Run     Run
	Results []resultView
}

// resultView is a result with what the page shows in addition.
type resultView struct {
	measure.Result
	// Short is the short description of the benchmark.
	Short string
	// Plots holds the plots as SVG elements.
	Plots []template.HTML
}

// Write writes the results as index.html into a directory, and creates the directory if
// needed. It returns an error if a plot cannot be drawn or the file cannot be written.
func Write(directory string, results []measure.Result, run Run) error {
	view := page{Run: run}
	for _, result := range results {
		plots, err := drawPlots(result.Series)
		if err != nil {
			return errors.Wrapf(err, "plots of %s", result.Name)
		}
		view.Results = append(view.Results, resultView{Result: result, Short: measure.Description(result.Name), Plots: plots})
	}
	var html bytes.Buffer
	if err := pageTemplate.Execute(&html, view); err != nil {
		return err
	}
	if err := os.MkdirAll(directory, directoryPerm); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, "index.html"), html.Bytes(), filePerm)
}

// drawPlots draws one plot for each Plot value of the series, in order of appearance.
func drawPlots(series []measure.Series) ([]template.HTML, error) {
	var names []string
	byPlot := make(map[string][]measure.Series)
	for _, s := range series {
		if _, ok := byPlot[s.Plot]; !ok {
			names = append(names, s.Plot)
		}
		byPlot[s.Plot] = append(byPlot[s.Plot], s)
	}
	var plots []template.HTML
	for _, name := range names {
		svg, err := drawPlot(name, byPlot[name])
		if err != nil {
			return nil, err
		}
		plots = append(plots, svg)
	}
	return plots, nil
}

// drawPlot draws the series into one plot and returns it as an SVG element. The units of
// the axes are those of the first series.
func drawPlot(title string, series []measure.Series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text, p.Y.Label.Text = series[0].XUnit, series[0].YUnit
	p.Legend.Top = true
	for i, s := range series {
		if err := addSeries(p, s, i, len(series)); err != nil {
			return "", err
		}
	}
	p.Add(plotter.NewGrid())
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", err
	}
	text := svg.String()
	// Drop the XML prologue, which is invalid within an HTML page.
	return template.HTML(text[strings.Index(text, "<svg"):]), nil
}

// addSeries adds one of count series to a plot: as bars if it has labels, as separate
// points if it has more than maxLinePoints, and as a line otherwise.
func addSeries(p *plot.Plot, s measure.Series, index, count int) error {
	if len(s.X) == 0 {
		return nil
	}
	seriesColor := palette[index%len(palette)]
	if len(s.Labels) > 0 {
		bars, err := plotter.NewBarChart(plotter.Values(s.Y), vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Color = seriesColor
		bars.Offset = vg.Points(barWidth * (float64(index) - float64(count-1)/2))
		p.Add(bars)
		p.NominalX(s.Labels...)
		p.Legend.Add(s.Name, bars)
		return nil
	}
	points := make(plotter.XYs, len(s.X))
	for i := range s.X {
		points[i].X, points[i].Y = s.X[i], s.Y[i]
	}
	if len(points) > maxLinePoints {
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		scatter.Color, scatter.Radius = seriesColor, vg.Points(glyphRadius)
		p.Add(scatter)
		p.Legend.Add(s.Name, scatter)
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = seriesColor
	p.Add(line)
	p.Legend.Add(s.Name, line)
	return nil
}

// FormatNumber formats a value with four significant digits.
func FormatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

// FormatTarget formats the target of a figure and whether the figure met it. It returns "" if
// the figure has no target.
func FormatTarget(f measure.Figure) string {
	if f.Target == nil {
		return ""
	}
	if *f.Met {
		return fmt.Sprintf("%s met", FormatNumber(*f.Target))
	}
	return fmt.Sprintf("%s MISSED", FormatNumber(*f.Target))
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{"number": FormatNumber, "target": FormatTarget}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>lavenderdeal measurements</title>
<style>
body{font:15px/1.5 sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:1rem 0}
td,th{padding:.2rem .8rem;border-bottom:1px solid #ddd;text-align:left}
td.n{text-align:right;font-variant-numeric:tabular-nums}
.broken{color:#c02c38;font-weight:bold}
svg{max-width:100%;height:auto}
</style></head><body>
<h1>lavenderdeal measurements</h1>
<p>{{.Run.Date}}, revision {{.Run.Revision}}, {{.Run.Go}}, {{.Run.Cores}} cores</p>
{{range .Results}}<h2>{{.Name}}</h2>
<p>{{.Short}}; deployment {{.Settings.Deployment}}, seed {{.Seed}}, scale {{number .Settings.Scale}}, {{number .Seconds}} s</p>
{{range .PromisesBroken}}<p class="broken">{{.}}</p>{{else}}<p>No promise was broken.</p>{{end}}
<table><tr><th>figure</th><th>value</th><th>unit</th><th>target</th></tr>
{{range .Figures}}<tr><td>{{.Name}}</td><td class="n">{{number .Value}}</td><td>{{.Unit}}</td><td>{{target .}}</td></tr>
{{end}}</table>
{{range .Plots}}<figure>{{.}}</figure>
{{end}}{{end}}</body></html>
`))
