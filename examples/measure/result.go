package main

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"quetzalhaven.dev/qhid"
)

// span is two moments with something between them.
type span struct{ before, after moment }

func (s span) length() time.Duration { return s.after.at.Sub(s.before.at) }

// sent returns the control bytes that each node sent.
func (s span) sent() []float64 {
	list := make([]float64, len(s.after.control))
	for i := range list {
		list[i] = float64(s.after.control[i].Sub(s.before.control[i]).Sent)
	}
	return list
}

// result has the figures of one fleet.
type result struct {
	nodes int
	// times has when each node put each change in force, since confirm started.
	times []time.Duration
	// idleBusiest and idleAverage are control bytes that a node sent a second.
	idleBusiest, idleAverage float64
	// idleRates has the bytes a second of each node.
	idleRates []float64
	// busiest and average add up control bytes of the changes, without what the
	// same time without a change takes.
	busiest, average float64
	changes          int
	// platform is calls a second without a change.
	platform float64
	// processor is the share of a processor that a node used without a change:
	// the average and the most.
	processor, processorMost float64
	// memory is the resident memory of the node with the most.
	memory qhid.Bytes
}

func (r *result) addIdle(s span) {
	seconds := s.length().Seconds()
	for i, sent := range s.sent() {
		r.idleRates = append(r.idleRates, sent/seconds)
		used := (s.after.usage[i].Processor - s.before.usage[i].Processor).Seconds() / seconds
		r.processor += used / float64(r.nodes)
		r.processorMost = max(r.processorMost, used)
		r.memory = max(r.memory, s.after.usage[i].Memory)
	}
	r.idleBusiest, r.idleAverage = slices.Max(r.idleRates), mean(r.idleRates)
	r.platform = float64(s.after.platform-s.before.platform) / seconds
}

func (r *result) addChange(s span) {
	if len(s.after.control) == 0 {
		return // the change failed
	}
	own := s.sent()
	for i := range own {
		own[i] = max(0, own[i]-r.idleRates[i]*s.length().Seconds())
		r.memory = max(r.memory, s.after.usage[i].Memory)
	}
	r.busiest += slices.Max(own)
	r.average += mean(own)
	r.changes++
}

// printTable prints a row for each fleet.
func printTable(out io.Writer, results []result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, err := fmt.Fprintln(table, "nodes\tconvergence median\t99 in 100\tworst\tbytes a change, busiest\taverage\tidle bytes a second, busiest\taverage\tplatform calls a second\tprocessor, average\tmost\tmemory, most\t")
	if err != nil {
		return err
	}
	for _, r := range results {
		slices.Sort(r.times)
		changes := float64(max(1, r.changes))
		_, err := fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.2f%%\t%.2f%%\t%.1f MB\t\n", r.nodes,
			quantile(r.times, 0.5), quantile(r.times, 0.99), quantile(r.times, 1),
			r.busiest/changes, r.average/changes, r.idleBusiest, r.idleAverage, r.platform,
			100*r.processor, 100*r.processorMost, float64(r.memory)/(1<<20))
		if err != nil {
			return err
		}
	}
	return table.Flush()
}

// quantile returns the value that a share q of the ordered times does not pass.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	at := int(q*float64(len(times))+0.5) - 1
	return times[min(max(at, 0), len(times)-1)].Round(time.Millisecond)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
