// Package meter records the metrics of a program with OpenTelemetry and exports them in the Prometheus text format.
//
// # Usage
//
//	m, handler, err := meter.New("entry")
//	wait := m.Histogram("queue_wait", "s", "Time from arrival to dispatch.")
//	wait.Record(workspace, class, 0.012)
//	refused := m.Counter("refused", "Refused requests.", "code")
//	refused.Add(1, "busy")
//
// The handler returned by New serves the metrics. The cardinality of each label is bounded: after MaxValues distinct
// values, further ones are recorded as Other.
package meter

import (
	"context"
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

const (
	// MaxValues is the maximum number of distinct values of a label such as workspace.
	MaxValues = 100
	// Other replaces label values beyond MaxValues.
	Other = "other"
)

// Labels of histograms.
const (
	labelWorkspace = "workspace"
	labelClass     = "class"
)

// secondBounds are the bucket boundaries of durations, in seconds. They are densest in the range of live responses and
// reach up to the duration of a step.
var secondBounds = []float64{
	0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300, 1800,
}

// countBounds are the bucket boundaries of all other units, such as weight versions or tokens.
var countBounds = []float64{0, 1, 2, 3, 4, 6, 8, 16, 64, 256, 1024, 4096, 16384, 65536}

// Meter creates the instruments of one program.
type Meter struct {
	meter  metric.Meter
	values *limiter
}

// New returns the meter of a program and the HTTP handler that serves its metrics. All names get the prefix
// bulrush_<name>_.
func New(name string) (*Meter, fasthttp.RequestHandler, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(
		exporter.WithRegisterer(registry),
		exporter.WithNamespace("bulrush_"+name),
		exporter.WithoutScopeInfo(),
		exporter.WithoutTargetInfo(),
	)
	if err != nil {
		return nil, nil, eris.Wrap(err, "meter: exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	m := &Meter{meter: provider.Meter(name), values: &limiter{seen: make(map[string]map[string]struct{})}}
	return m, fasthttpadaptor.NewFastHTTPHandler(handler), nil
}

// Histogram records the distribution of values by workspace and class.
type Histogram struct {
	instrument metric.Float64Histogram
	options    *optionCache
}

// Histogram returns a histogram by workspace and class. The unit is s for seconds, or an annotation such as {token}. It
// panics if the name is invalid, which is a programming error.
func (m *Meter) Histogram(name, unit, description string) *Histogram {
	bounds := countBounds
	if unit == "s" {
		bounds = secondBounds
	}
	h, err := m.meter.Float64Histogram(name, metric.WithUnit(unit), metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(bounds...))
	if err != nil {
		panic(eris.Wrapf(err, "meter: histogram %s", name))
	}
	return &Histogram{instrument: h, options: newOptionCache(m.values, labelWorkspace, labelClass)}
}

// Record adds a value in the unit of the histogram.
func (h *Histogram) Record(workspace, class string, value float64) {
	h.instrument.Record(context.Background(), value, h.options.get(workspace, class))
}

// Counter counts events by the values of its labels.
type Counter struct {
	instrument metric.Int64Counter
	options    *optionCache
}

// Counter returns a counter with the given labels. It panics if the name is invalid, which is a programming error.
func (m *Meter) Counter(name, description string, labels ...string) *Counter {
	c, err := m.meter.Int64Counter(name, metric.WithDescription(description))
	if err != nil {
		panic(eris.Wrapf(err, "meter: counter %s", name))
	}
	return &Counter{instrument: c, options: newOptionCache(m.values, labels...)}
}

// Add counts n events under the given label values, which are in the order of the labels.
func (c *Counter) Add(n int64, values ...string) {
	c.instrument.Add(context.Background(), n, c.options.get(values...))
}

// Gauge exports the value that read returns at each collection. It panics if the name is invalid, which is a programming
// error.
func (m *Meter) Gauge(name, description string, read func() float64) {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	if err != nil {
		panic(eris.Wrapf(err, "meter: gauge %s", name))
	}
}

// limiter bounds the cardinality of labels by replacing values beyond MaxValues with Other.
type limiter struct {
	mu   sync.Mutex
	seen map[string]map[string]struct{} // values by label
}

func (l *limiter) limit(label, value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	values := l.seen[label]
	if values == nil {
		values = make(map[string]struct{})
		l.seen[label] = values
	}
	if _, ok := values[value]; ok {
		return value
	}
	if len(values) >= MaxValues {
		return Other
	}
	values[value] = struct{}{}
	return value
}

// separator joins label values to a cache key. It cannot occur in values that come from a settings file or a token.
const separator = "\x00"

// optionCache caches the attribute set of each combination of label values, so that a measurement need not build it.
type optionCache struct {
	labels []string
	values *limiter
	mu     sync.RWMutex
	sets   map[string]metric.MeasurementOption
}

func newOptionCache(values *limiter, labels ...string) *optionCache {
	return &optionCache{labels: labels, values: values, sets: make(map[string]metric.MeasurementOption)}
}

func (c *optionCache) get(values ...string) metric.MeasurementOption {
	limited := make([]string, len(c.labels))
	for i, label := range c.labels {
		value := Other
		if i < len(values) {
			value = c.values.limit(label, values[i])
		}
		limited[i] = value
	}
	key := strings.Join(limited, separator)
	c.mu.RLock()
	o, ok := c.sets[key]
	c.mu.RUnlock()
	if ok {
		return o
	}
	pairs := make([]attribute.KeyValue, len(c.labels))
	for i, label := range c.labels {
		pairs[i] = attribute.String(label, limited[i])
	}
	o = metric.WithAttributeSet(attribute.NewSet(pairs...))
	c.mu.Lock()
	c.sets[key] = o
	c.mu.Unlock()
	return o
}
