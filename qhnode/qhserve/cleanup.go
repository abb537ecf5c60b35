package qhserve

// cleanupStack runs cleanup functions in the reverse order of their addition.
type cleanupStack struct {
	funcs []func()
}

func (c *cleanupStack) add(f func()) { c.funcs = append(c.funcs, f) }

func (c *cleanupStack) run() {
	for i := len(c.funcs) - 1; i >= 0; i-- {
		c.funcs[i]()
	}
	c.funcs = nil
}
