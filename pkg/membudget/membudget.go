// Package membudget bounds the memory that all requests of an instance together use to
// hold bytes that another party has sent.
package membudget

import (
	"errors"
	"io"
	"sync/atomic"
)

// Budget is an amount of memory that holders share. It is safe for concurrent use.
type Budget struct {
	// freeBytes is the part of the budget that no holder has taken.
	freeBytes atomic.Int64
}

// New returns a budget of the given number of bytes.
func New(bytes int64) *Budget {
	b := &Budget{}
	b.freeBytes.Store(bytes)
	return b
}

// FreeBytes returns the number of bytes that no holder has taken.
func (b *Budget) FreeBytes() int64 { return b.freeBytes.Load() }

// take takes bytes from the budget, or returns them if negative, and reports whether the
// budget had as many.
func (b *Budget) take(bytes int64) bool {
	if b.freeBytes.Add(-bytes) >= 0 || bytes <= 0 {
		return true
	}
	b.freeBytes.Add(bytes)
	return false
}

// Share is what one holder has taken of a budget. Its user must call Release. It is not
// safe for concurrent use.
type Share struct {
	budget *Budget
	// freeBytes may be held without being taken from the budget.
	freeBytes int64
	heldBytes int64
}

// NewShare returns a share that holds nothing. freeBytes of what it holds are not taken
// from the budget, so that little can be held even when others have used it up. A nil
// budget has no limit.
func NewShare(budget *Budget, freeBytes int) *Share {
	return &Share{budget: budget, freeBytes: int64(freeBytes)}
}

// Resize changes the number of bytes that the share holds. It reports false, and changes
// nothing, if the budget does not have as many.
func (s *Share) Resize(bytes int) bool {
	needed := max(0, int64(bytes)-s.freeBytes) - max(0, s.heldBytes-s.freeBytes)
	if s.budget != nil && !s.budget.take(needed) {
		return false
	}
	s.heldBytes = int64(bytes)
	return true
}

// Release returns all to the budget.
func (s *Share) Release() { s.Resize(0) }

// Buffer is a byte buffer whose memory beyond its first size is taken from a budget. Its
// user must call Release. It is not safe for concurrent use.
type Buffer struct {
	share     *Share
	bytes     []byte
	firstSize int
	maxSize   int
}

// NewBuffer returns a buffer of firstSize bytes, which are not taken from the budget, that
// grows to maxSize bytes as the budget allows.
func NewBuffer(budget *Budget, firstSize, maxSize int) *Buffer {
	return &Buffer{share: NewShare(budget, firstSize), firstSize: firstSize, maxSize: maxSize}
}

// Bytes returns the contents. They are valid until the next call of another method.
func (b *Buffer) Bytes() []byte { return b.bytes }

// Full reports whether the buffer holds maxSize bytes.
func (b *Buffer) Full() bool { return len(b.bytes) >= b.maxSize }

// Space returns the free space behind the contents, to be filled and then added by
// Extend. If there is none, it doubles the buffer. It returns nil if the buffer is full
// or the budget is used up.
func (b *Buffer) Space() []byte {
	if len(b.bytes) == cap(b.bytes) && !b.grow() {
		return nil
	}
	return b.bytes[len(b.bytes):cap(b.bytes)]
}

func (b *Buffer) grow() bool {
	size := min(max(2*cap(b.bytes), b.firstSize), b.maxSize)
	if size <= cap(b.bytes) || !b.share.Resize(size) {
		return false
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown
	return true
}

// Extend adds the first n bytes of Space to the contents.
func (b *Buffer) Extend(n int) { b.bytes = b.bytes[:len(b.bytes)+n] }

// Discard removes the first n bytes of the contents. It returns memory to the budget if
// the rest fits in the first size.
func (b *Buffer) Discard(n int) {
	rest := b.bytes[n:]
	if cap(b.bytes) <= b.firstSize || len(rest) > b.firstSize {
		b.bytes = b.bytes[:copy(b.bytes, rest)]
		return
	}
	kept := make([]byte, len(rest), b.firstSize)
	copy(kept, rest)
	b.Release()
	b.bytes = kept
}

// ReadAll reads until the end of the source or until there is no space. It reports
// whether it has read all of the source.
func (b *Buffer) ReadAll(source io.Reader) (complete bool, err error) {
	for {
		space := b.Space()
		if space == nil {
			return false, nil
		}
		n, err := source.Read(space)
		b.Extend(n)
		switch {
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
}

// Release drops the contents and returns the memory to the budget.
func (b *Buffer) Release() {
	b.share.Release()
	b.bytes = nil
}
