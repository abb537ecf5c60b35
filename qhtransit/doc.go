// Package qhtransit decides whether the caller of a call that another node forwarded is
// known to wait for it still.
//
// The end of a call reaches the target's node behind the call itself, on the same
// connection. What is delayed on the way, or read late, may have ended long ago, so a call
// is passed to its target only if its caller waited at most MaxAge before. An older call is
// refused as not executed; its sender sends it again if its caller still waits.
//
// The age of a call cannot be read from the clocks of two machines. The sender says when it
// sent the call, counted from the opening of the connection on its own clock. The receiver
// counts from the moment it accepted the connection. The smallest difference between the
// two counts in a sliding window stands for a call that was not delayed; what a call exceeds
// it by is its age. The age is never more than the time that the call was on its way, apart
// from the drift of the clocks within the window.
package qhtransit
