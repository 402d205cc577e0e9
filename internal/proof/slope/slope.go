// Package slope measures how the costs of an instance, such as memory, processor time
// and the size of messages, grow with the size of the deployment, and extrapolates
// them to the planned size.
//
// # Usage
//
//	results := slope.Measure()
//	slope.Write(os.Stdout, results)
//	fmt.Print(slope.Markdown(results))
package slope

import (
	"encoding/json"
	"io"
	"math"
	"runtime"
	"time"
)

// Slope is a straight line that is fitted to the measurements of one cost, Name. The
// cost is measured in Unit, as a function of a number of items. Items names them, such
// as customers; the measurements are at numbers from MinX to MaxX. Intercept is
// the cost without any item, PerUnit the cost of each item. MaxResidual is the
// maximum distance of a measurement from the line, as a fraction of the largest
// measurement.
type Slope struct {
	Name        string  `json:"name"`
	Items       string  `json:"x"`
	Unit        string  `json:"unit"`
	MinX        float64 `json:"from"`
	MaxX        float64 `json:"to"`
	Intercept   float64 `json:"base"`
	PerUnit     float64 `json:"perunit"`
	MaxResidual float64 `json:"residual"`
}

// At returns the cost of x items according to the line.
func (s Slope) At(x float64) float64 {
	return s.Intercept + s.PerUnit*x
}

// Results is the content of docs/slopes.json: the slopes of one run of Measure.
type Results struct {
	Slopes []Slope `json:"slopes"`
}

// Find returns the slope with the given name. If there is none, it returns a Slope
// whose Intercept is NaN, so that NaN appears in what is calculated from At.
func (r Results) Find(name string) Slope {
	for _, s := range r.Slopes {
		if s.Name == name {
			return s
		}
	}
	return Slope{Name: name, Intercept: math.NaN()}
}

// Read decodes Results from JSON.
func Read(r io.Reader) (Results, error) {
	var results Results
	err := json.NewDecoder(r).Decode(&results)
	return results, err
}

// Write encodes Results as JSON.
func Write(w io.Writer, results Results) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(results)
}

// fit fits a line to the points (xs[i], ys[i]) by least squares.
func fit(name, items, unit string, xs, ys []float64) Slope {
	var sumX, sumY, sumXX, sumXY, maxY float64
	n := float64(len(xs))
	for i := range xs {
		sumX += xs[i]
		sumY += ys[i]
		sumXX += xs[i] * xs[i]
		sumXY += xs[i] * ys[i]
		maxY = math.Max(maxY, math.Abs(ys[i]))
	}
	s := Slope{Name: name, Items: items, Unit: unit, MinX: xs[0], MaxX: xs[len(xs)-1]}
	s.PerUnit = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	s.Intercept = (sumY - s.PerUnit*sumX) / n
	for i := range xs {
		s.MaxResidual = math.Max(s.MaxResidual, math.Abs(s.At(xs[i])-ys[i])/math.Max(maxY, 1e-12))
	}
	return s
}

// measureSlope measures a cost for each number of items in xs and fits a line.
func measureSlope(name, items, unit string, xs []float64, measure func(items int) float64) Slope {
	ys := make([]float64, len(xs))
	for i, v := range xs {
		ys[i] = measure(int(v))
	}
	return fit(name, items, unit, xs, ys)
}

const (
	minRoundDuration = 50 * time.Millisecond
	rounds           = 3
)

// nsPerCall returns the duration of a call of f in nanoseconds. It measures the mean
// in each of several rounds and returns the smallest.
func nsPerCall(f func()) float64 {
	minNs := math.Inf(1)
	for range rounds {
		calls, started := 0, time.Now()
		for time.Since(started) < minRoundDuration {
			f()
			calls++
		}
		minNs = math.Min(minNs, float64(time.Since(started))/float64(calls))
	}
	return minNs
}

// heapSize returns the heap memory in bytes that the value returned by build occupies.
func heapSize(build func() any) float64 {
	before := liveHeap()
	value := build()
	after := liveHeap()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
