// Package intrusive implements a doubly linked list whose links are a field of its entries,
// so that a list of many entries needs no memory besides them.
package intrusive

// Links is the field of an entry of type T that links it into a List. The zero value is not
// linked. An entry can be in as many lists as it has fields of this type.
type Links[T any] struct{ older, newer *T }

// List is a doubly linked list of entries of type T, in the order in which they were pushed.
// All operations but a walk take constant time. New creates a List.
type List[T any] struct {
	oldest, newest *T
	links          func(*T) *Links[T]
}

// New returns an empty list. links returns the field of an entry that the list uses.
func New[T any](links func(entry *T) *Links[T]) List[T] { return List[T]{links: links} }

// Oldest returns the entry that was pushed first, or nil if the list is empty.
func (l *List[T]) Oldest() *T { return l.oldest }

// Newer returns the entry that was pushed after entry, or nil if entry is the newest one.
func (l *List[T]) Newer(entry *T) *T { return l.links(entry).newer }

// Push appends an entry that is not in the list.
func (l *List[T]) Push(entry *T) {
	*l.links(entry) = Links[T]{older: l.newest}
	if l.newest != nil {
		l.links(l.newest).newer = entry
	} else {
		l.oldest = entry
	}
	l.newest = entry
}

// Remove removes an entry that is in the list.
func (l *List[T]) Remove(entry *T) {
	links := l.links(entry)
	if links.older != nil {
		l.links(links.older).newer = links.newer
	} else {
		l.oldest = links.newer
	}
	if links.newer != nil {
		l.links(links.newer).older = links.older
	} else {
		l.newest = links.older
	}
	*links = Links[T]{}
}
