package dispatch

// budget bounds extra attempts to a part of the requests.
type budget struct {
	ratio float64
	burst float64
	level float64
}

// newBudget returns a budget that starts half full, so that a new process can repeat its first requests.
func newBudget(ratio, burst float64) *budget {
	return &budget{ratio: ratio, burst: burst, level: burst / 2}
}

// deposit counts a request.
func (b *budget) deposit() { b.level = min(b.burst, b.level+b.ratio) }

func (b *budget) ready() bool { return b.level >= 1 }

// take pays for one extra attempt and reports whether it may be made.
func (b *budget) take() bool {
	if !b.ready() {
		return false
	}
	b.level--
	return true
}

// Offer counts a request in the budgets.
func (d *Dispatcher) Offer(tenant string, hedge bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(tenant).deposit()
	if hedge {
		d.hedges.deposit()
	}
}

// Repeat pays for a retry of the tenant and reports whether it may be made.
func (d *Dispatcher) Repeat(tenant string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(tenant).take()
}

// hedge pays for a hedge from both budgets, so that hedges and retries together keep to the larger one.
func (d *Dispatcher) hedge(tenant string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.budget(tenant)
	return b.ready() && d.hedges.take() && b.take()
}

// budget returns the retry budget of a tenant; d.mu is held. Tenants are named in the settings, so their number is
// bounded.
func (d *Dispatcher) budget(tenant string) *budget {
	b, ok := d.budgets[tenant]
	if !ok {
		b = newBudget(d.settings.RetryRatio, d.settings.RetryBurst)
		d.budgets[tenant] = b
	}
	return b
}
