// Package qhwire implements the protocol between nodes: JSON-RPC 2.0 over TCP,
// with a length prefix before each message. Both ends of a link send requests
// and notices. An empty frame is a heartbeat and costs one byte.
package qhwire
