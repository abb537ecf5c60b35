package qhfeed

import "time"

// The waits that may delay a version on its way to a node, as shares of the convergence
// limit. Each is counted from an event that the node knows, such as the last response of
// its source, so that the waits of different nodes overlap. TestWaitsFitConvergenceLimit
// adds up those that follow each other.
const (
	// storeWaitShare bounds the time between two responses of the store to watches of
	// the configuration.
	storeWaitShare = 0.4
	// storeGraceShare is how much later the response to a watch may begin until its
	// connection counts as silent. The grace grows with the lateness of a slow store, up
	// to maxStoreGraceShare.
	storeGraceShare    = 0.2
	maxStoreGraceShare = 0.4
	// reconnectShare is how long a reader whose connection is silent may take to hear
	// from the store on a new one. After that it no longer serves watches.
	reconnectShare = 0.1
	// retryShare is the longest time between two calls for the configuration to a store
	// that does not respond.
	retryShare = 0.35
	// clientRoundShare is how long a client without a usable reader calls the store until
	// it tries its readers again.
	clientRoundShare = 0.5
	// readerWaitShare is how long a reader holds a watch at most, counted from the last
	// response to the client, and readerGraceShare how much longer its response may take.
	readerWaitShare  = 0.2
	readerGraceShare = 0.15
	// farReaderShare is how old the knowledge of a client may get until it asks a reader of
	// another availability zone, and ownCallShare until it asks the store itself. Both are
	// above storeWaitShare, the age that readers in order let it reach.
	farReaderShare = 0.5
	ownCallShare   = 0.6
	// maxPauseShare bounds the pause of a watcher after a change.
	maxPauseShare = 0.3
)

// limitShare returns a share of the convergence limit.
func (f *Feed) limitShare(share float64) time.Duration {
	return time.Duration(share * float64(f.ConvergenceLimit))
}
