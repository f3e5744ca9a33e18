package scale

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Fit is a least-squares line of a figure over the site's size, or over its
// binary logarithm.
type Fit struct {
	Figure string
	// Logarithmic tells that the line is over log2 of the nodes.
	Logarithmic bool
	Base, Slope float64
	// Determination is R², the share of the variance that the line explains; 1
	// where there is none.
	Determination float64
}

// At returns the line's value at a size.
func (f Fit) At(nodes float64) float64 {
	if f.Logarithmic {
		nodes = math.Log2(nodes)
	}
	return f.Base + f.Slope*nodes
}

// figures are what Fits draws lines through.
var figures = []struct {
	name string
	of   func(*Result) float64
}{
	{"quiet: share of a core", func(r *Result) float64 { return r.Quiet.ProcessorShare }},
	{"quiet: sent B/s", func(r *Result) float64 { return r.Quiet.SentBytes }},
	{"quiet: received B/s", func(r *Result) float64 { return r.Quiet.ReceivedBytes }},
	{"quiet: sent messages/s", func(r *Result) float64 { return r.Quiet.SentMessages }},
	{"quiet: membership B/s", func(r *Result) float64 { return r.Quiet.MembershipBytes }},
	{"quiet: peer protocol B/s", func(r *Result) float64 { return r.Quiet.PeerBytes }},
	{"quiet: log requests/s", func(r *Result) float64 { return r.Quiet.LogRequests }},
	{"quiet: back-end polls/s", func(r *Result) float64 { return r.Quiet.BackendPolls }},
	{"churn: share of a core", func(r *Result) float64 { return r.Churn.ProcessorShare }},
	{"churn: sent B/s", func(r *Result) float64 { return r.Churn.SentBytes }},
	{"churn: membership B/s", func(r *Result) float64 { return r.Churn.MembershipBytes }},
	{"heap B", func(r *Result) float64 { return r.HeapPerNode }},
	{"resident B", func(r *Result) float64 { return r.ResidentPerNode }},
	{"death agreed s", func(r *Result) float64 { return r.DeathAgreed.Max }},
	{"death served s", func(r *Result) float64 { return r.DeathServed.Max }},
	{"table in force s, max", func(r *Result) float64 { return r.TableInForce.Max }},
	{"zone: settled s", func(r *Result) float64 { return r.Zone.Settled }},
	{"region: settled s", func(r *Result) float64 { return r.Region.Settled }},
}

// Fits returns, for each figure, the better of the two lines.
func Fits(results []Result) []Fit {
	var fits []Fit
	for _, figure := range figures {
		linear := fitLine(results, figure.of, func(n float64) float64 { return n })
		logarithmic := fitLine(results, figure.of, math.Log2)
		logarithmic.Logarithmic = true
		better := linear
		if logarithmic.Determination >= linear.Determination {
			better = logarithmic
		}
		better.Figure = figure.name
		fits = append(fits, better)
	}
	return fits
}

func fitLine(results []Result, of func(*Result) float64, scale func(float64) float64) Fit {
	count := float64(len(results))
	var meanX, meanY float64
	for i := range results {
		meanX += scale(float64(results[i].Nodes)) / count
		meanY += of(&results[i]) / count
	}
	var covariance, varianceX, varianceY float64
	for i := range results {
		x, y := scale(float64(results[i].Nodes))-meanX, of(&results[i])-meanY
		covariance += x * y
		varianceX += x * x
		varianceY += y * y
	}
	fit := Fit{Base: meanY, Determination: 1}
	if varianceX > 0 {
		fit.Slope = covariance / varianceX
		fit.Base = meanY - fit.Slope*meanX
	}
	if varianceX > 0 && varianceY > 0 {
		fit.Determination = covariance * covariance / (varianceX * varianceY)
	}
	return fit
}

// PrintFits writes the lines with their values at the two-year size and at its
// double.
func PrintFits(out io.Writer, results []Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "figure per node\tline\tR²\tat 380\tat 760")
	for _, fit := range Fits(results) {
		variable := "n"
		if fit.Logarithmic {
			variable = "log2 n"
		}
		fmt.Fprintf(table, "%s\t%.4g %+.4g %s\t%.2f\t%.4g\t%.4g\n",
			fit.Figure, fit.Base, fit.Slope, variable, fit.Determination, fit.At(dailyNodes), fit.At(2*dailyNodes))
	}
	return table.Flush()
}

// PrintResults writes the main figures, one run a column.
func PrintResults(out io.Writer, results []Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "nodes\t")
	for i := range results {
		fmt.Fprintf(table, "%d\t", results[i].Nodes)
	}
	fmt.Fprintln(table)
	for _, figure := range figures {
		fmt.Fprintf(table, "%s\t", figure.name)
		for i := range results {
			fmt.Fprintf(table, "%.4g\t", figure.of(&results[i]))
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
