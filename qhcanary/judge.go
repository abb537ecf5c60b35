package qhcanary

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"quetzalhaven.dev/qhid"
)

const (
	// failureScore and timeScore are how many standard deviations the new version
	// must be worse than the old one to count as bad. A good version exceeds the
	// first in one of 30,000 independent comparisons.
	failureScore = 4.0
	timeScore    = 5.0
	// suspicionScore is the score from which on a version is not called good yet.
	suspicionScore = 2.0
	// minExcess is the share of additional failures that makes a version bad.
	minExcess = 0.03
	// minSlowdown is the ratio of service times that makes a version bad. Sound
	// targets of a service differ by less.
	minSlowdown = 1.8
	// minBadAnswers is the least number of answers of the new version on a route
	// that a version is called bad on.
	minBadAnswers = 10
	// enoughAnswers and enoughRouteAnswers are the answers of the new version, in
	// all and on each route with routeShare of the old version's answers, that are
	// enough to call it good.
	enoughAnswers      = 30
	enoughRouteAnswers = 10
	routeShare         = 0.1
)

// Counts are the answers of a target to calls of one route.
type Counts struct {
	Answers int `json:"n"`
	// Failures are answers with a server error, and those that broke off.
	Failures int `json:"f,omitempty"`
	// LogTime and LogTimeSquare are the sums of the natural logarithms of the service
	// times in seconds, and of their squares, over the answers that are no failures.
	LogTime       float64 `json:"l,omitempty"`
	LogTimeSquare float64 `json:"q,omitempty"`
}

// plus returns the sum of two counts.
func (c Counts) plus(other Counts) Counts {
	return Counts{c.Answers + other.Answers, c.Failures + other.Failures, c.LogTime + other.LogTime, c.LogTimeSquare + other.LogTimeSquare}
}

// minus returns the counts since an earlier state.
func (c Counts) minus(earlier Counts) Counts {
	return Counts{c.Answers - earlier.Answers, c.Failures - earlier.Failures, c.LogTime - earlier.LogTime, c.LogTimeSquare - earlier.LogTimeSquare}
}

// successes returns the number of answers that are no failures.
func (c Counts) successes() int { return c.Answers - c.Failures }

// RouteCounts has the counts of each route.
type RouteCounts map[qhid.Route]Counts

// Sample has the answers of one period: of each exposed target of the new version, and
// of the targets of the old ones together.
type Sample struct {
	New map[qhid.Target]RouteCounts
	Old RouteCounts
}

// Tally sums up all answers that were judged.
type Tally struct {
	NewAnswers  int `json:"new,omitempty"`
	NewFailures int `json:"newfailed,omitempty"`
	OldAnswers  int `json:"old,omitempty"`
	OldFailures int `json:"oldfailed,omitempty"`
}

// Opinion is what a judge thinks of a version.
type Opinion int

// Opinions, from bad to good.
const (
	// Bad is a version that is worse than the old one on some route.
	Bad Opinion = iota
	// Suspect is a version that may turn out to be bad.
	Suspect
	// Unsure is a version with too few answers.
	Unsure
	// Good is a version that is not worse than the old one.
	Good
)

// Judge compares the answers of the new version with those of the old one. Answers of
// different periods and routes are never compared with each other, so that a service
// that is overloaded for a time, or one route of it, does not count against the new
// version. It is not safe for concurrent use.
type Judge struct {
	tally Tally
	// newByRoute and oldByRoute count all answers.
	newByRoute, oldByRoute map[qhid.Route]int
	// targets are those of the new version that have answered.
	targets map[qhid.Target]bool
	// scores has the comparison of each route with all targets of the new version,
	// and without each one of them, so that a single bad VM does not decide.
	scores map[scoreKey]*score
}

// scoreKey identifies a comparison. without is empty for that with all targets.
type scoreKey struct {
	route   qhid.Route
	without qhid.Target
}

// score compares two sets of answers over many periods.
type score struct {
	// answers, observed and expected are those of the new version: all answers,
	// the failures, and the failures if both versions failed alike (a stratified
	// test of two proportions). variance is that of observed.
	answers                      int
	observed, expected, variance float64
	// weight, difference and timeVariance are the sums over the periods for the
	// difference of the mean logarithms of service times.
	weight, difference, timeVariance float64
}

// NewJudge returns a judge that has seen no answers.
func NewJudge() *Judge {
	return &Judge{
		newByRoute: make(map[qhid.Route]int), oldByRoute: make(map[qhid.Route]int),
		targets: make(map[qhid.Target]bool), scores: make(map[scoreKey]*score),
	}
}

// Tally returns the sums of all answers.
func (j *Judge) Tally() Tally { return j.tally }

// Add adds the answers of a period.
func (j *Judge) Add(sample Sample) {
	all := make(RouteCounts)
	for target, routes := range sample.New {
		for route, counts := range routes {
			all[route] = all[route].plus(counts)
			if counts.Answers > 0 && !j.targets[target] {
				j.addTarget(target)
			}
		}
	}
	for route, old := range sample.Old {
		j.oldByRoute[route] += old.Answers
		j.tally.OldAnswers += old.Answers
		j.tally.OldFailures += old.Failures
	}
	for route, counts := range all {
		j.newByRoute[route] += counts.Answers
		j.tally.NewAnswers += counts.Answers
		j.tally.NewFailures += counts.Failures
		old := sample.Old[route]
		j.scoreOf(route, "").add(counts, old)
		for target := range j.targets {
			j.scoreOf(route, target).add(counts.minus(sample.New[target][route]), old)
		}
	}
}

// addTarget begins the comparisons without a target, which agree with those with all
// targets up to its first answer.
func (j *Judge) addTarget(target qhid.Target) {
	j.targets[target] = true
	for key, with := range maps.Clone(j.scores) {
		if key.without == "" {
			clone := *with
			j.scores[scoreKey{route: key.route, without: target}] = &clone
		}
	}
}

func (j *Judge) scoreOf(route qhid.Route, without qhid.Target) *score {
	key := scoreKey{route: route, without: without}
	if j.scores[key] == nil {
		j.scores[key] = &score{}
	}
	return j.scores[key]
}

// add adds the answers of a period on one route.
func (s *score) add(fresh, old Counts) {
	n, m := float64(fresh.Answers), float64(old.Answers)
	s.answers += fresh.Answers
	if n == 0 || m == 0 {
		return // nothing to compare
	}
	failures := float64(fresh.Failures + old.Failures)
	s.observed += float64(fresh.Failures)
	s.expected += n * failures / (n + m)
	if n+m > 1 {
		s.variance += n * m * failures * (n + m - failures) / ((n + m) * (n + m) * (n + m - 1))
	}
	a, b := float64(fresh.successes()), float64(old.successes())
	if a == 0 || b == 0 {
		return
	}
	weight := a * b / (a + b)
	s.weight += weight
	s.difference += weight * (fresh.LogTime/a - old.LogTime/b)
	both := fresh.plus(old)
	spread := both.LogTimeSquare/(a+b) - (both.LogTime/(a+b))*(both.LogTime/(a+b))
	s.timeVariance += weight * max(spread, 0)
}

// failureScore returns by how many standard deviations the new version fails more
// often, and the share of its answers that are failures beyond those expected.
func (s *score) failureScore() (deviations, excess float64) {
	if s.answers == 0 || s.variance == 0 {
		return 0, 0
	}
	return (s.observed - s.expected) / math.Sqrt(s.variance), (s.observed - s.expected) / float64(s.answers)
}

// timeScore returns by how many standard deviations the new version is slower, and the
// ratio of the service times.
func (s *score) timeScore() (deviations, ratio float64) {
	if s.weight == 0 || s.timeVariance == 0 {
		return 0, 1
	}
	return s.difference / math.Sqrt(s.timeVariance), math.Exp(s.difference / s.weight)
}

// opinion returns what the comparison says of the new version.
func (s *score) opinion() Opinion {
	failures, excess := s.failureScore()
	times, ratio := s.timeScore()
	switch {
	case s.answers < minBadAnswers:
		return Unsure
	case failures >= failureScore && excess >= minExcess, times >= timeScore && ratio >= minSlowdown:
		return Bad
	case failures >= suspicionScore && excess >= minExcess, times >= suspicionScore && ratio >= minSlowdown:
		return Suspect
	default:
		return Good
	}
}

// Opinion returns what the judge thinks of the new version, and why.
func (j *Judge) Opinion() (Opinion, string) {
	worst, reason := Good, ""
	for _, route := range slices.Sorted(maps.Keys(j.newByRoute)) {
		if opinion := j.routeOpinion(route); opinion < worst && opinion != Unsure {
			worst, reason = opinion, j.describe(route)
		}
	}
	if worst != Good {
		return worst, reason
	}
	if missing := j.missingRoute(); missing != "" {
		return Unsure, missing
	}
	return Good, fmt.Sprintf("%d of %d answers failed, of the versions in service %d of %d", j.tally.NewFailures, j.tally.NewAnswers, j.tally.OldFailures, j.tally.OldAnswers)
}

// routeOpinion returns the best opinion on a route over all comparisons without one
// target. With a single target there is nothing to leave out.
func (j *Judge) routeOpinion(route qhid.Route) Opinion {
	opinion := j.scoreOf(route, "").opinion()
	if len(j.targets) < 2 || opinion == Good || opinion == Unsure {
		return opinion
	}
	for target := range j.targets {
		opinion = max(opinion, j.scoreOf(route, target).opinion())
	}
	if opinion == Unsure {
		return Suspect // only one target has answered often enough
	}
	return opinion
}

// describe returns the figures of a route.
func (j *Judge) describe(route qhid.Route) string {
	s := j.scoreOf(route, "")
	failures, excess := s.failureScore()
	times, ratio := s.timeScore()
	return fmt.Sprintf("route %s: %.0f failures of %d answers where %.1f were expected (%.1f deviations, excess %.3f), service times %.2f times as long (%.1f deviations)",
		route, s.observed, s.answers, s.expected, failures, excess, ratio, times)
}

// missingRoute says of which route there are too few answers to call the version good,
// or returns an empty text. Without answers of the old version nothing is missing.
func (j *Judge) missingRoute() string {
	if j.tally.OldAnswers > 0 && j.tally.NewAnswers < enoughAnswers {
		return fmt.Sprintf("only %d of %d answers yet", j.tally.NewAnswers, enoughAnswers)
	}
	for _, route := range slices.Sorted(maps.Keys(j.oldByRoute)) {
		if float64(j.oldByRoute[route]) >= routeShare*float64(j.tally.OldAnswers) && j.newByRoute[route] < enoughRouteAnswers {
			return fmt.Sprintf("only %d of %d answers on route %s yet", j.newByRoute[route], enoughRouteAnswers, route)
		}
	}
	return ""
}
