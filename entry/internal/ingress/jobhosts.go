package ingress

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/sleep"
	"bulrushspoke/platform"
)

// jobHostsRetryPause is the pause after a list of the jobs that failed.
const jobHostsRetryPause = time.Second

// jobHosts knows which hosts have jobs although the configuration has no route of batch jobs for them. The jobs are in the
// store, while a process that starts after the removal of the route has never seen it.
//
// The jobs are listed once for each configuration, after the time within which entries with an older one may still accept
// jobs. They are listed where a route covers paths of calls for jobs, or once a request depends on it. Until then each such
// call asks the store for its job.
type jobHosts struct {
	catalog *catalog.Catalog
	list    func(ctx context.Context) (map[string]bool, error)
	delay   time.Duration // within which all entries have a new configuration
	logger  *slog.Logger
	wanted  chan struct{} // signals run that a request depends on the hosts

	mu       sync.Mutex
	revision int64           // of the configuration that the hosts were listed for; -1 for none
	hosts    map[string]bool // whether the last route of batch jobs of the host needed no key
}

func newJobHosts(c *catalog.Catalog, delay time.Duration, logger *slog.Logger) *jobHosts {
	return &jobHosts{catalog: c, delay: delay, logger: logger, wanted: make(chan struct{}, 1), revision: -1}
}

// hostState is what is known of the jobs of a host without a route of batch jobs.
type hostState struct {
	known bool // false if the jobs have not been listed for the configuration
	jobs  bool // the host has jobs
	open  bool // the last route of batch jobs needed no key
}

// lookup returns what is known of the jobs of a host that has no route of batch jobs in the configuration.
func (h *jobHosts) lookup(host string, c *catalog.Config) hostState {
	h.mu.Lock()
	open, ok := h.hosts[host]
	s := hostState{known: h.revision >= c.Revision, jobs: ok, open: open}
	h.mu.Unlock()
	if s.known {
		return s
	}
	select {
	case h.wanted <- struct{}{}:
	default:
	}
	return s
}

// mayHaveJobs reports whether a host that has no route of batch jobs in the configuration has jobs, or may have some.
func (h *jobHosts) mayHaveJobs(host string, c *catalog.Config) bool {
	if h.catalog.HadBatchRoute(host) {
		return true
	}
	s := h.lookup(host, c)
	return s.jobs || !s.known
}

// needNoKey reports whether calls for jobs of a host that has no route of batch jobs in the configuration need no key. The
// second result is false if that is not known yet.
func (h *jobHosts) needNoKey(host string, c *catalog.Config) (open, known bool) {
	if h.catalog.HadBatchRoute(host) {
		return h.catalog.HadOpenBatchRoute(host), true
	}
	s := h.lookup(host, c)
	return s.open, s.known
}

// undecided reports whether it is not known yet if a request that has no valid key needs one.
func (h *jobHosts) undecided(q *request, c *catalog.Config) bool {
	if !q.isJobCall() || c.HasRoute(q.host, catalog.Batch) {
		return false
	}
	_, known := h.needNoKey(q.host, c)
	return !known
}

// run lists the jobs for each configuration that needs it, until ctx ends. It returns the error of ctx.
func (h *jobHosts) run(ctx context.Context) error {
	for ctx.Err() == nil {
		newer := h.catalog.ConfigChanged()
		if c := h.catalog.Config(); c != nil {
			current, cancel := context.WithCancel(ctx)
			go func() {
				defer cancel()
				select {
				case <-newer:
				case <-current.Done():
				}
			}()
			h.follow(current, c)
			cancel()
		}
		select {
		case <-newer:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// follow lists the jobs once for a configuration, until ctx ends.
func (h *jobHosts) follow(ctx context.Context, c *catalog.Config) {
	sleep.For(ctx, h.delay)
	if !coversJobCalls(c) {
		select {
		case <-h.wanted:
		case <-ctx.Done():
		}
	}
	for ctx.Err() == nil && !h.read(ctx, c.Revision) {
		sleep.For(ctx, jobHostsRetryPause)
	}
}

// read lists the jobs for the configuration with the given revision, and reports whether the store has answered.
func (h *jobHosts) read(ctx context.Context, revision int64) bool {
	hosts, err := h.list(ctx)
	if err != nil {
		event.JobHostsListed.Log(h.logger, "revision", revision, "cause", err.Error())
		return false
	}
	event.JobHostsListed.Log(h.logger, "revision", revision, "hosts", len(hosts))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revision, h.hosts = revision, hosts
	select {
	case <-h.wanted: // by a request that this list answers
	default:
	}
	return true
}

// coversJobCalls reports whether a route covers paths of calls for jobs of a host that has no route of batch jobs.
func coversJobCalls(c *catalog.Config) bool {
	return slices.ContainsFunc(c.Routes, func(r catalog.Route) bool {
		return platform.MayCoverJobCalls(r.Prefix) && !c.HasRoute(r.Host, catalog.Batch)
	})
}
