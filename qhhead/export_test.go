package qhhead

// NewWithSmallParts returns a chain that writes small parts for every version,
// so that small test configurations have many parts.
func NewWithSmallParts(opts Options) *Chain {
	chain := New(opts)
	chain.maxMeanPartSize, chain.maxInlineDiff = 256, 0
	return chain
}
