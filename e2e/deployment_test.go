package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/examples"
	"lacewingramp.example/lacewingramp/internal/config/sheet"
	"lacewingramp.example/lacewingramp/internal/entry/instance"
	"lacewingramp.example/lacewingramp/internal/platform/memory"
	"lacewingramp.example/lacewingramp/internal/platform/target"
	"lacewingramp.example/lacewingramp/internal/proof/loopback"
	"lacewingramp.example/lacewingramp/internal/report/page"
)

// waitTimeout is how long a test waits for an expected event. Durations that a test
// measures are only printed, not checked.
const waitTimeout = 60 * time.Second

// pollInterval is the interval at which a test checks for the event.
const pollInterval = 50 * time.Millisecond

// process is a running program. done receives the result of the program when it ends.
type process struct {
	command *exec.Cmd
	done    chan error
}

func start(name string, args ...string) *process {
	p := &process{command: exec.Command(filepath.Join(programDir, name), args...), done: make(chan error, 1)}
	p.command.Stderr = ginkgo.GinkgoWriter
	gomega.Expect(p.command.Start()).To(gomega.Succeed())
	go func() { p.done <- p.command.Wait() }()
	return p
}

func (p *process) kill() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) signal(s syscall.Signal) {
	gomega.Expect(p.command.Process.Signal(s)).To(gomega.Succeed())
}

// entry is an entry instance that runs as a process. caller, peer and operator are the
// addresses at which it listens for callers, other instances and operators.
type entry struct {
	*process

	name     string
	domain   string
	caller   string
	peer     string
	operator string
}

// deployment is a store, targets and entry instances that run as processes: one for the
// store, one for all targets and one for each instance. table is the table that
// deploy committed, which tests modify before they commit it again. sequence numbers
// the table files and the instances.
type deployment struct {
	dir          string
	storeAddress string
	table        *lacewingramp.Table
	tableFile    string
	entries      []*entry
	standins     []*process
	sequence     int
}

// freeAddress returns an unused loopback address.
func freeAddress() string {
	address, err := loopback.Free()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return address
}

// deploy starts a deployment with the bank's table and one instance for each element of
// domains. A domain that is listed twice gets two instances.
func deploy(domains ...string) *deployment {
	d := &deployment{dir: ginkgo.GinkgoT().TempDir(), storeAddress: freeAddress()}
	ginkgo.DeferCleanup(d.close)
	t, err := sheet.Decode("table.csv", bytes.NewReader(examples.Bank))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	t.Caps = nil
	keepDomains(t, domains)
	for i := range t.Targets {
		t.Targets[i].Address = freeAddress()
	}
	d.table = t
	d.tableFile = d.writeTable(t)
	d.standins = append(d.standins, start("standin", "store", d.storeAddress))
	d.standins = append(d.standins, start("standin", "targets", d.tableFile))
	gomega.Eventually(func() error { return d.command("table", "put", d.tableFile).run() }, waitTimeout, pollInterval).Should(gomega.Succeed())
	for _, name := range domains {
		d.startInstance(name)
	}
	d.waitReady()
	return d
}

// keepDomains removes the failure domains without an instance from the table, so
// that the shares of the others add up to the whole limits.
func keepDomains(t *lacewingramp.Table, domains []string) {
	t.Domains = slices.DeleteFunc(t.Domains, func(d lacewingramp.Domain) bool { return !slices.Contains(domains, d.Name) })
	t.Targets = slices.DeleteFunc(t.Targets, func(tgt lacewingramp.Target) bool { return !slices.Contains(domains, tgt.Domain) })
}

func (d *deployment) writeTable(t *lacewingramp.Table) string {
	d.sequence++
	name := filepath.Join(d.dir, fmt.Sprintf("table-%d.csv", d.sequence))
	var b bytes.Buffer
	gomega.Expect(sheet.Encode(&b, t)).To(gomega.Succeed())
	gomega.Expect(os.WriteFile(name, b.Bytes(), 0o600)).To(gomega.Succeed())
	return name
}

// command is a run of the program lacewingramp, with its output.
type command struct {
	cmd *exec.Cmd
	out bytes.Buffer
	err bytes.Buffer
}

func (d *deployment) command(args ...string) *command {
	c := &command{cmd: exec.Command(filepath.Join(programDir, "lacewingramp"), args...)}
	c.cmd.Env = append(os.Environ(), "LACEWINGRAMP_STORE=http://"+d.storeAddress, "LACEWINGRAMP_OPERATOR=test")
	c.cmd.Stdout, c.cmd.Stderr = &c.out, &c.err
	return c
}

func (c *command) run() error {
	if err := c.cmd.Run(); err != nil {
		return fmt.Errorf("%w: %s", err, c.err.String())
	}
	return nil
}

func (d *deployment) seedArgs() []string {
	var args []string
	for _, e := range d.entries {
		args = append(args, "--seed", e.peer)
	}
	return args
}

// startInstance starts an instance in a domain. Its seeds are the instances that run
// already.
func (d *deployment) startInstance(domain string) *entry {
	d.sequence++
	e := &entry{
		name: fmt.Sprintf("%s-%d", domain, d.sequence), domain: domain,
		caller: freeAddress(), peer: freeAddress(), operator: freeAddress(),
	}
	args := []string{
		"entry", "--name", e.name, "--domain", domain, "--store", "http://" + d.storeAddress, "--log", "warn",
		"--caller", e.caller, "--peer", e.peer, "--operator-listen", e.operator,
	}
	e.process = start("lacewingramp", append(args, d.seedArgs()...)...)
	d.entries = append(d.entries, e)
	return e
}

// removeInstance removes an instance that has ended from the list of the deployment's
// instances.
func (d *deployment) removeInstance(e *entry) {
	for i, o := range d.entries {
		if o == e {
			d.entries = append(d.entries[:i], d.entries[i+1:]...)
			return
		}
	}
}

func getJSON(url string, out any) error {
	c := http.Client{Timeout: 2 * time.Second}
	resp, err := c.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

func (e *entry) report() page.Report {
	var r page.Report
	_ = getJSON("http://"+e.operator+"/report", &r)
	return r
}

func (e *entry) audit() []instance.AuditEntry {
	var all []instance.AuditEntry
	_ = getJSON("http://"+e.operator+"/audit", &all)
	return all
}

// waitReady waits until every instance is serving, every shard is held by an instance,
// and each instance regards all others as live.
func (d *deployment) waitReady() {
	gomega.Eventually(d.notReadyReason, waitTimeout, pollInterval).Should(gomega.BeEmpty())
}

func (d *deployment) notReadyReason() string {
	held := make(map[string]int)
	for _, e := range d.entries {
		r := e.report()
		if r.LifecycleState != "serving" || r.Suspended {
			return e.name + " is not serving"
		}
		held[e.domain] += len(r.Shards)
		live := 0
		for _, member := range r.Instances {
			if member.Live && !member.Leaving {
				live++
			}
		}
		if live < len(d.entries)-1 {
			return fmt.Sprintf("%s regards only %d other instances as live", e.name, live)
		}
	}
	for name, n := range held {
		if n != 16 {
			return fmt.Sprintf("the instances of %s hold %d of 16 shards", name, n)
		}
	}
	return ""
}

func (d *deployment) callers() []string {
	var all []string
	for _, e := range d.entries {
		all = append(all, e.caller)
	}
	return all
}

func (d *deployment) keys() map[string]string {
	keys := make(map[string]string)
	for _, customer := range d.table.Customers {
		keys[customer.Name] = examples.KeyPrefix + customer.Name
	}
	return keys
}

func postJSON(url string, in any) {
	raw, err := json.Marshal(in)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := http.Post(url, "application/json", bytes.NewReader(raw))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_ = resp.Body.Close()
}

func (d *deployment) setFaults(f memory.Faults) {
	postJSON("http://"+d.storeAddress+"/faults", f)
}

// runs returns the sums of the statistics of all targets that respond.
func (d *deployment) runs() target.Runs {
	sum := target.Runs{Keys: make(map[string]int)}
	for _, t := range d.table.Targets {
		var r target.Runs
		if getJSON("http://"+t.Address+"/runs", &r) != nil {
			continue
		}
		sum.Started += r.Started
		sum.Over += r.Over
		sum.Authorized += r.Authorized
		sum.Crashes += r.Crashes
		for key, n := range r.Keys {
			sum.Keys[key] += n
		}
	}
	return sum
}

func (d *deployment) close() {
	for _, e := range d.entries {
		e.kill()
	}
	for _, p := range d.standins {
		p.kill()
	}
}

func revisionOf(out string) string {
	_, rest, _ := strings.Cut(out, "revision ")
	number, _, _ := strings.Cut(rest, " ")
	return number
}
