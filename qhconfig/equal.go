package qhconfig

import "slices"

// Equal tells whether two services are the same.
func (s *Service) Equal(other *Service) bool {
	return s.Name == other.Name &&
		s.Slots == other.Slots &&
		s.Queue == other.Queue &&
		s.Connections == other.Connections &&
		slices.Equal(s.Retired, other.Retired)
}

// Equal tells whether two routes are the same.
func (r *Route) Equal(other *Route) bool {
	return r.Name == other.Name &&
		r.Host == other.Host &&
		r.Prefix == other.Prefix &&
		slices.Equal(r.Methods, other.Methods) &&
		slices.Equal(r.Shares, other.Shares) &&
		r.Repeat == other.Repeat &&
		r.Timeout == other.Timeout &&
		r.Silence == other.Silence &&
		r.Body == other.Body &&
		r.Priority == other.Priority &&
		r.Objective == other.Objective &&
		r.Attempts == other.Attempts
}
