package trial

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/examples"
	"lacewingramp.example/lacewingramp/internal/config/sheet"
	"lacewingramp.example/lacewingramp/internal/platform/target"
	"lacewingramp.example/lacewingramp/internal/timer/wall"
)

// Parameters of the comparison. The latency is measured at the rate that keeps half
// of pathSlots slots in use on average.
const (
	pathSlots       = 32
	pathServiceTime = 5 * time.Millisecond
	pathDuration    = 6 * time.Second
	pathWorkers     = 64
)

// openPathDeployment starts one instance and one target with a slot for each worker,
// and waits until the target has warmed up. It returns the addresses of the target
// and of the instance.
func openPathDeployment(b *testing.B, serviceTime time.Duration) (direct, entry string) {
	t, err := sheet.Decode("table.csv", bytes.NewReader(examples.Bank))
	if err != nil {
		b.Fatal(err)
	}
	t.Caps = nil
	t.Domains = t.Domains[:1]
	t.Customers[0].Rate, t.Customers[0].Burst = 1e6, 1e6
	t.Targets = t.Targets[:1]
	t.Targets[0].Slots = pathWorkers
	d, err := OpenWithTimer(context.Background(), t, []string{"uy1"}, wall.Timer{})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(d.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := d.WaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	for _, tgt := range d.Targets {
		tgt.SetBehaviour(target.Behaviour{Time: lacewingramp.Duration(serviceTime)})
	}
	time.Sleep(11 * time.Second) // until the target has warmed up
	return t.Targets[0].Address, d.CallerAddresses()[0]
}

// measure sends requests at a rate in requests per second, or as fast as the workers
// can if the rate is 0. It returns the latencies in microseconds and the throughput
// in requests per second, both without failed requests.
func measure(address string, rate float64, duration time.Duration) (*hdrhistogram.Histogram, float64) {
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4 * pathWorkers, DialContext: (&net.Dialer{}).DialContext,
	}}
	defer client.CloseIdleConnections()
	latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var failed atomic.Int64
	var wait sync.WaitGroup
	startTime := time.Now()
	for worker := range pathWorkers {
		wait.Go(func() {
			next := startTime.Add(time.Duration(float64(worker) / max(rate, 1) * float64(time.Second)))
			for time.Since(startTime) < duration {
				if rate > 0 {
					time.Sleep(time.Until(next))
					next = next.Add(time.Duration(pathWorkers / rate * float64(time.Second)))
				}
				sentAt := time.Now()
				if !sendRequest(client, address) {
					failed.Add(1)
					continue
				}
				mu.Lock()
				_ = latencies.RecordValue(time.Since(sentAt).Microseconds())
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return latencies, float64(latencies.TotalCount()) / time.Since(startTime).Seconds()
}

func sendRequest(client *http.Client, address string) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/recipes/7", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+examples.KeyPrefix+"andes-ski")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// BenchmarkPath compares requests through one entry instance with requests sent
// directly to the same target: the latency with a service time of 5 ms at half load,
// and the maximum throughput with a service time of 0. The goals are at most 1.05
// times the p50 and 1.2 times the p99 of direct requests.
func BenchmarkPath(b *testing.B) {
	b.Run("latency", func(b *testing.B) {
		direct, entry := openPathDeployment(b, pathServiceTime)
		rate := pathSlots / pathServiceTime.Seconds() / 2
		for b.Loop() {
			d, _ := measure(direct, rate, pathDuration)
			e, _ := measure(entry, rate, pathDuration)
			b.ReportMetric(float64(d.ValueAtQuantile(50)), "direct-p50-µs")
			b.ReportMetric(float64(e.ValueAtQuantile(50)), "entry-p50-µs")
			b.ReportMetric(float64(d.ValueAtQuantile(99)), "direct-p99-µs")
			b.ReportMetric(float64(e.ValueAtQuantile(99)), "entry-p99-µs")
			b.ReportMetric(float64(e.ValueAtQuantile(50))/float64(d.ValueAtQuantile(50)), "p50-times")
			b.ReportMetric(float64(e.ValueAtQuantile(99))/float64(d.ValueAtQuantile(99)), "p99-times")
		}
	})
	b.Run("throughput", func(b *testing.B) {
		direct, entry := openPathDeployment(b, 0)
		for b.Loop() {
			_, d := measure(direct, 0, pathDuration)
			_, e := measure(entry, 0, pathDuration)
			b.ReportMetric(d, "direct/s")
			b.ReportMetric(e, "entry/s")
		}
	})
}
