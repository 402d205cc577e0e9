// Package slope measures how the costs of an instance grow with the size of
// the fleet, and works out what they come to at the size to design for.
//
// # Usage
//
//	file := slope.Measure()
//	slope.Write(os.Stdout, file)
//	fmt.Print(slope.Page(file))
package slope

import (
	"encoding/json"
	"io"
	"math"
	"runtime"
	"time"
)

// Slope is a straight line through what was measured: Base + PerUnit for each
// of what X counts, from From to To. Residual is the largest distance of a
// point from the line as a part of the largest value.
type Slope struct {
	Name     string  `json:"name"`
	X        string  `json:"x"`
	Unit     string  `json:"unit"`
	From     float64 `json:"from"`
	To       float64 `json:"to"`
	Base     float64 `json:"base"`
	PerUnit  float64 `json:"perunit"`
	Residual float64 `json:"residual"`
}

// At returns the value of the line.
func (s Slope) At(x float64) float64 {
	return s.Base + s.PerUnit*x
}

// File is the slopes of one run.
type File struct {
	Slopes []Slope `json:"slopes"`
}

// Find returns the slope called name.
func (f File) Find(name string) Slope {
	for _, s := range f.Slopes {
		if s.Name == name {
			return s
		}
	}
	return Slope{Name: name, Base: math.NaN()}
}

// Read reads a file.
func Read(r io.Reader) (File, error) {
	var f File
	err := json.NewDecoder(r).Decode(&f)
	return f, err
}

// Write writes a file.
func Write(w io.Writer, f File) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(f)
}

// fit lays a line through points by least squares.
func fit(name, x, unit string, xs, ys []float64) Slope {
	var sx, sy, sxx, sxy, most float64
	n := float64(len(xs))
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
		most = math.Max(most, math.Abs(ys[i]))
	}
	s := Slope{Name: name, X: x, Unit: unit, From: xs[0], To: xs[len(xs)-1]}
	s.PerUnit = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.Base = (sy - s.PerUnit*sx) / n
	for i := range xs {
		s.Residual = math.Max(s.Residual, math.Abs(s.At(xs[i])-ys[i])/math.Max(most, 1e-12))
	}
	return s
}

// along measures one size after another and fits a line.
func along(name, x, unit string, xs []float64, measure func(x int) float64) Slope {
	ys := make([]float64, len(xs))
	for i, v := range xs {
		ys[i] = measure(int(v))
	}
	return fit(name, x, unit, xs, ys)
}

const (
	timed   = 50 * time.Millisecond
	repeats = 3
)

// nanoseconds is the least time of a call of f over a few rounds.
func nanoseconds(f func()) float64 {
	best := math.Inf(1)
	for range repeats {
		calls, begun := 0, time.Now()
		for time.Since(begun) < timed {
			f()
			calls++
		}
		best = math.Min(best, float64(time.Since(begun))/float64(calls))
	}
	return best
}

// heapOf is the memory that what make returns takes.
func heapOf(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
