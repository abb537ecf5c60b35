package qhserve

// cleanups undoes what was started, the last first.
type cleanups struct {
	funcs []func()
}

func (c *cleanups) add(f func()) { c.funcs = append(c.funcs, f) }

func (c *cleanups) run() {
	for i := len(c.funcs) - 1; i >= 0; i-- {
		c.funcs[i]()
	}
	c.funcs = nil
}
