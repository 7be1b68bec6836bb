package fairness

// Order is a weighted fair order of flows (start-time fair queueing): the flow that has been served least for its weight
// goes next. A flow that was idle keeps no credit.
type Order struct {
	virtual float64 // start tag of the flow that was served last
	tags    map[Flow]float64
}

// NewOrder returns an Order in which no flow has been served.
func NewOrder() *Order { return &Order{tags: make(map[Flow]float64)} }

// Before reports whether flow a goes before flow b.
func (o *Order) Before(a, b Flow) bool {
	x, y := o.start(a), o.start(b)
	if x != y {
		return x < y
	}
	return a.compare(b) < 0
}

// start returns the start tag of the next request of a flow.
func (o *Order) start(f Flow) float64 { return max(o.tags[f], o.virtual) }

// Serve records that one request of a flow with the given weight is served.
func (o *Order) Serve(f Flow, weight float64) {
	start := o.start(f)
	o.virtual = start
	o.tags[f] = start + 1/weight
}

// Forget removes a flow.
func (o *Order) Forget(f Flow) { delete(o.tags, f) }
