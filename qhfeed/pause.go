package qhfeed

import (
	"context"
	"math/rand/v2"
	"time"

	"quetzalhaven.dev/qhgroup"
)

// pause is a random wait that doubles with each failure.
type pause struct{ mean time.Duration }

func newPause() *pause { return &pause{mean: firstPause} }

func (p *pause) reset() { p.mean = firstPause }

// wait waits from half to one and a half times the mean.
func (p *pause) wait(ctx context.Context) {
	mean := p.mean
	p.mean = min(2*p.mean, lastPause)
	qhgroup.Sleep(ctx, mean/2+rand.N(mean))
}
