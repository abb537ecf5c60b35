// Package qhwire is the protocol between nodes: JSON-RPC 2.0 over TCP with a
// length before each message. A link carries requests and notices both ways.
// An empty frame is a heartbeat and costs one byte.
package qhwire
