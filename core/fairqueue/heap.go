package fairqueue

// notInHeap is the index of an element outside its heap.
const notInHeap = -1

// indexHeap is a binary heap that stores in each element the position of the
// element, so that an element can be moved or removed in O(log n).
type indexHeap[T any] struct {
	items []T
	// less reports whether a comes before b.
	less func(a, b T) bool
	// index returns a pointer to the position that an element stores.
	index func(T) *int
}

func (h *indexHeap[T]) len() int { return len(h.items) }

func (h *indexHeap[T]) top() T { return h.items[0] }

func (h *indexHeap[T]) push(x T) {
	*h.index(x) = len(h.items)
	h.items = append(h.items, x)
	h.siftUp(len(h.items) - 1)
}

// remove removes x from the heap. It does nothing when x is not in the heap.
func (h *indexHeap[T]) remove(x T) {
	i := *h.index(x)
	if i == notInHeap {
		return
	}
	lastIndex := len(h.items) - 1
	h.swap(i, lastIndex)
	var zero T
	h.items[lastIndex] = zero
	h.items = h.items[:lastIndex]
	*h.index(x) = notInHeap
	if i < lastIndex {
		h.restore(i)
	}
}

// fix restores the heap order after the key of x has changed. It does nothing
// when x is not in the heap.
func (h *indexHeap[T]) fix(x T) {
	if i := *h.index(x); i != notInHeap {
		h.restore(i)
	}
}

// restore moves the element at i up or down until the heap order holds.
func (h *indexHeap[T]) restore(i int) {
	if !h.siftDown(i) {
		h.siftUp(i)
	}
}

func (h *indexHeap[T]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// siftDown moves the element at i towards the leaves until the heap order holds
// and reports whether it moved.
func (h *indexHeap[T]) siftDown(i int) bool {
	startIndex := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > startIndex
}

func (h *indexHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}
