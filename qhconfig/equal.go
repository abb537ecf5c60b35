package qhconfig

import "slices"

// Equal reports whether two services are equal in all fields.
func (s *Service) Equal(other *Service) bool {
	return s.Name == other.Name &&
		s.Slots == other.Slots &&
		s.MaxQueue == other.MaxQueue &&
		s.MaxConnections == other.MaxConnections &&
		slices.Equal(s.Retired, other.Retired)
}

// Equal reports whether two routes are equal in all fields.
func (r *Route) Equal(other *Route) bool {
	return r.Name == other.Name &&
		r.Host == other.Host &&
		r.Prefix == other.Prefix &&
		slices.Equal(r.Methods, other.Methods) &&
		slices.Equal(r.Shares, other.Shares) &&
		r.Unavailable == other.Unavailable &&
		r.Retry == other.Retry &&
		r.Timeout == other.Timeout &&
		r.FirstByteTimeout == other.FirstByteTimeout &&
		r.MaxBodyBytes == other.MaxBodyBytes &&
		r.Priority == other.Priority &&
		r.LatencyObjective == other.LatencyObjective &&
		r.MaxAttempts == other.MaxAttempts &&
		r.Anonymous == other.Anonymous
}
