package qhplatform

// Operation is a kind of call to the platform.
type Operation string

// Operations of the object API. Their values are also labels of metrics.
const (
	OpGet         Operation = "get"
	OpCreate      Operation = "create"
	OpUpdate      Operation = "update"
	OpStatus      Operation = "status"
	OpDelete      Operation = "delete"
	OpList        Operation = "list"
	OpWatchObject Operation = "watch"
	OpWatchPrefix Operation = "follow"
)

func (o Operation) isWrite() bool {
	return o == OpCreate || o == OpUpdate || o == OpStatus || o == OpDelete
}

// isWatch reports whether the platform holds the call until something changes.
func (o Operation) isWatch() bool { return o == OpWatchObject || o == OpWatchPrefix }
