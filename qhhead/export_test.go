package qhhead

// NewSmall returns a chain that writes small parts for every version, so that
// tests with small configurations have many parts.
func NewSmall(opts Options) *Chain {
	chain := New(opts)
	chain.partSize, chain.maxDiff = 256, 0
	return chain
}
