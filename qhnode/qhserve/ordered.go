package qhserve

import (
	"cmp"
	"maps"
	"slices"
)

// ordered collects one value a key and lists them ordered by key.
type ordered[K cmp.Ordered, V any] struct {
	values map[K]*V
}

func newOrdered[K cmp.Ordered, V any]() ordered[K, V] {
	return ordered[K, V]{values: make(map[K]*V)}
}

// get returns the value of the key, a new one where there is none.
func (o ordered[K, V]) get(key K) *V {
	value, ok := o.values[key]
	if !ok {
		value = new(V)
		o.values[key] = value
	}
	return value
}

func (o ordered[K, V]) list() []V {
	list := make([]V, 0, len(o.values))
	for _, key := range slices.Sorted(maps.Keys(o.values)) {
		list = append(list, *o.values[key])
	}
	return list
}
