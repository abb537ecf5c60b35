package qhserve

import (
	"cmp"
	"maps"
	"slices"
)

// orderedMap collects one value per key and lists the values ordered by key.
type orderedMap[K cmp.Ordered, V any] struct {
	values map[K]*V
}

func newOrderedMap[K cmp.Ordered, V any]() orderedMap[K, V] {
	return orderedMap[K, V]{values: make(map[K]*V)}
}

// get returns the value of the key, which it adds if it is missing.
func (o orderedMap[K, V]) get(key K) *V {
	value, ok := o.values[key]
	if !ok {
		value = new(V)
		o.values[key] = value
	}
	return value
}

// list returns the values ordered by key.
func (o orderedMap[K, V]) list() []V {
	list := make([]V, 0, len(o.values))
	for _, key := range slices.Sorted(maps.Keys(o.values)) {
		list = append(list, *o.values[key])
	}
	return list
}
