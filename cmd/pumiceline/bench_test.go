package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pumiceline/internal/standalone/discovery"
)

// readMemory returns a field of /proc/<pid>/<file> of a process, in MB. The field Pss divides the size of a
// page that several processes share among them.
func readMemory(b *testing.B, p *process, file, field string) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.Process.Pid, file))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			if kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64); err == nil {
				return kb / 1024
			}
		}
	}
	b.Fatalf("no %s in %s", field, file)
	return 0
}

// BenchmarkCost measures the CPU time of the proxy for a request, in a closed loop of 32 clients, without and with
// affinity and load polling. Compare figures only within a run, or with those of another version when both versions run
// alternately.
func BenchmarkCost(b *testing.B) {
	for name, adapt := range map[string]func(map[string]any){
		"plain": nil,
		"keys":  func(set map[string]any) { useAffinity(set, true) },
	} {
		b.Run(name, func(b *testing.B) {
			c := newCluster(b, 64)
			c.adaptSettings = adapt
			c.writeConfig()
			p := c.start(c.discovery)
			c.awaitReady(p)
			var served atomic.Int64
			stopLoad := c.startLoad(32, newKeepAliveTransport(b), func(status int, err error, _ time.Time) {
				if err == nil && status == 200 {
					served.Add(1)
				}
			})
			time.Sleep(5 * time.Second)
			stopLoad()
			p.Process.Signal(syscall.SIGTERM)
			if err := p.Wait(); err != nil {
				b.Fatal(err)
			}
			spent := p.ProcessState.UserTime() + p.ProcessState.SystemTime() // includes about 20 ms for the start
			b.ReportMetric(float64(spent.Microseconds())/float64(served.Load()), "us-CPU/request")
		})
	}
}

// BenchmarkTwoProcesses measures how much of a limit of 32 MB the two processes of one proxy use together during a hot
// restart under load, and how much one process uses alone.
func BenchmarkTwoProcesses(b *testing.B) {
	for range b.N {
		c := newCluster(b, 32)
		old := c.start(c.discovery)
		c.awaitReady(old)
		stopLoad := c.startLoad(16, newKeepAliveTransport(b), func(int, error, time.Time) {})
		time.Sleep(2 * time.Second)
		one := readMemory(b, old, "smaps_rollup", "Pss")
		next := c.start(c.discovery)
		c.awaitReady(next)
		time.Sleep(2 * time.Second)
		first, second := readMemory(b, old, "smaps_rollup", "Pss"), readMemory(b, next, "smaps_rollup", "Pss")
		stopLoad()
		b.ReportMetric(one, "MB-alone")
		b.ReportMetric(first+second, "MB-both")
		b.ReportMetric((first+second)/32, "of-limit")
	}
}

// BenchmarkLongAnswers measures the memory of 100 responses of 8 MiB that clients have begun to read and then stop reading.
func BenchmarkLongAnswers(b *testing.B) {
	const responseSize, readers = 8 << 20, 100
	for range b.N {
		c := newCluster(b, 64)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(responseSize))
			piece := make([]byte, 64<<10)
			for range responseSize / len(piece) {
				if _, err := w.Write(piece); err != nil {
					return
				}
			}
		})}
		go server.Serve(ln)
		for _, e := range c.fakes.Entries {
			e.Health = discovery.HealthDeleted
			c.fakes.Discovery.Put(e)
		}
		c.fakes.Discovery.Put(discovery.Entry{Host: "long", Address: ln.Addr().String(), Zone: "ub-east", InstanceType: "std-8",
			Health: discovery.HealthServing, Size: 1})
		p := c.start(c.discovery)
		c.awaitReady(p)
		time.Sleep(3 * time.Second) // until the proxy's list has only the backend above
		before := readMemory(b, p, "status", "VmRSS")
		var bodies []io.ReadCloser
		for n := range readers {
			req, err := http.NewRequest("GET", "http://"+c.address+"/full-quote", nil)
			if err != nil {
				b.Fatal(err)
			}
			req.Header = http.Header{"X-Correlation-Id": {fmt.Sprint("l", n)}, "X-Service-Class": {"full-quote"}, "X-Account": {"khan-air"},
				"X-Time-Left-Ms": {"6000"}}
			resp, err := (&http.Transport{ReadBufferSize: 4 << 10}).RoundTrip(req)
			if err != nil || resp.StatusCode != 200 {
				b.Fatal(resp, err)
			}
			if _, err := io.CopyN(io.Discard, resp.Body, 64<<10); err != nil {
				b.Fatal(err)
			}
			bodies = append(bodies, resp.Body)
		}
		time.Sleep(time.Second)
		after := readMemory(b, p, "status", "VmRSS")
		for _, body := range bodies {
			body.Close()
		}
		server.Close()
		b.ReportMetric(before, "MB-before")
		b.ReportMetric(after, "MB-with-100")
		b.ReportMetric((after-before)*1024/readers, "KB/answer")
	}
}

// BenchmarkScrapeAtOverload measures how long the admin API takes to respond while clients keep the proxy's one core
// busy.
func BenchmarkScrapeAtOverload(b *testing.B) {
	for range b.N {
		c := newCluster(b, 64)
		p := c.start(c.discovery)
		c.awaitReady(p)
		scrapeTimes := func() (took []time.Duration) {
			for range 50 {
				start := time.Now()
				if status, _, err := get(connectionPerRequest, p.adminURL+"metrics", nil); err != nil || status != 200 {
					b.Fatal(status, err)
				}
				took = append(took, time.Since(start))
				time.Sleep(20 * time.Millisecond)
			}
			slices.Sort(took)
			return took
		}
		idle := scrapeTimes()
		var served atomic.Int64
		start := time.Now()
		stopLoad := c.startLoad(64, newKeepAliveTransport(b), func(status int, _ error, _ time.Time) {
			if status == 200 {
				served.Add(1)
			}
		})
		time.Sleep(time.Second)
		busy := scrapeTimes()
		stopLoad()
		b.ReportMetric(float64(served.Load())/time.Since(start).Seconds(), "requests/s")
		for name, t := range map[string]time.Duration{"ms-calm": idle[25], "ms-median": busy[25], "ms-most": busy[49]} {
			b.ReportMetric(float64(t.Microseconds())/1000, name)
		}
	}
}
