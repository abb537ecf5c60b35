package main

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"quetzalhaven.dev/qhid"
)

// interval holds the snapshots at the start and the end of a measurement.
type interval struct{ before, after snapshot }

func (i interval) duration() time.Duration { return i.after.takenAt.Sub(i.before.takenAt) }

// bytesSent returns the control bytes that each node sent in the interval.
func (i interval) bytesSent() []float64 {
	sent := make([]float64, len(i.after.controlTraffic))
	for node := range sent {
		sent[node] = float64(i.after.controlTraffic[node].Sub(i.before.controlTraffic[node]).Sent)
	}
	return sent
}

// fleetResult holds the measurements of one fleet.
type fleetResult struct {
	nodes int
	// convergenceTimes has an entry for each node and change: the time from the
	// start of confirm until the version was in force on the node.
	convergenceTimes []time.Duration
	// idleRateMax and idleRateMean are the maximum and the mean of idleRates.
	idleRateMax, idleRateMean float64
	// idleRates has the control bytes per second that each node sent without a
	// change.
	idleRates []float64
	// changeBytesMax and changeBytesMean are sums over all changes of the maximum
	// and the mean over all nodes of the control bytes that a node sent, less its
	// idle traffic in the same time.
	changeBytesMax, changeBytesMean float64
	changes                         int
	// platformCallRate is the number of platform calls per second without a
	// change.
	platformCallRate float64
	// cpuMean and cpuMax are the mean and the maximum over all nodes
	// of the share of one CPU that a node used without a change.
	cpuMean, cpuMax float64
	// memoryMax is the largest resident memory of a node in any snapshot after
	// an interval.
	memoryMax qhid.Bytes
}

func (r *fleetResult) addIdle(measured interval) {
	seconds := measured.duration().Seconds()
	for i, sent := range measured.bytesSent() {
		r.idleRates = append(r.idleRates, sent/seconds)
		used := (measured.after.usage[i].CPUTime - measured.before.usage[i].CPUTime).Seconds() / seconds
		r.cpuMean += used / float64(r.nodes)
		r.cpuMax = max(r.cpuMax, used)
		r.memoryMax = max(r.memoryMax, measured.after.usage[i].Memory)
	}
	r.idleRateMax, r.idleRateMean = slices.Max(r.idleRates), mean(r.idleRates)
	r.platformCallRate = float64(measured.after.platformCalls-measured.before.platformCalls) / seconds
}

func (r *fleetResult) addChange(measured interval) {
	if len(measured.after.controlTraffic) == 0 {
		return // the change failed
	}
	sent := measured.bytesSent()
	for i := range sent {
		sent[i] = max(0, sent[i]-r.idleRates[i]*measured.duration().Seconds())
		r.memoryMax = max(r.memoryMax, measured.after.usage[i].Memory)
	}
	r.changeBytesMax += slices.Max(sent)
	r.changeBytesMean += mean(sent)
	r.changes++
}

// printTable prints one row for each fleet.
func printTable(out io.Writer, results []fleetResult) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, err := fmt.Fprintln(table, "nodes\tconvergence p50\tp99\tmax\tbytes per change, max\tmean\tidle bytes per second, max\tmean\tplatform calls per second\tCPU, mean\tmax\tmemory, max\t")
	if err != nil {
		return err
	}
	for _, r := range results {
		slices.Sort(r.convergenceTimes)
		changes := float64(max(1, r.changes))
		_, err := fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.2f%%\t%.2f%%\t%.1f MB\t\n", r.nodes,
			quantile(r.convergenceTimes, 0.5), quantile(r.convergenceTimes, 0.99), quantile(r.convergenceTimes, 1),
			r.changeBytesMax/changes, r.changeBytesMean/changes, r.idleRateMax, r.idleRateMean, r.platformCallRate,
			100*r.cpuMean, 100*r.cpuMax, float64(r.memoryMax)/(1<<20))
		if err != nil {
			return err
		}
	}
	return table.Flush()
}

// quantile returns the q-quantile of the sorted times, 0 if there are none.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	index := int(q*float64(len(times))+0.5) - 1
	return times[min(max(index, 0), len(times)-1)].Round(time.Millisecond)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
