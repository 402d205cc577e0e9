package message

import (
	"os"
	"syscall"
)

// pages is a range of the address space outside the heap. It takes no memory until it is
// used. A nil pages is empty.
type pages struct {
	mapped []byte
	usable int
}

// reservePages reserves a range for n bytes.
func reservePages(n int) (*pages, error) {
	mapped, err := syscall.Mmap(-1, 0, roundToPages(n), syscall.PROT_NONE, syscall.MAP_PRIVATE|syscall.MAP_ANON)
	if err != nil {
		return nil, err
	}
	// A huge page would take 2 MiB with its first byte. A kernel without huge pages refuses
	// the advice, which it does not need.
	_ = syscall.Madvise(mapped, syscall.MADV_NOHUGEPAGE)
	return &pages{mapped: mapped}, nil
}

// use makes the first n bytes of the range usable and returns them.
func (p *pages) use(n int) ([]byte, error) {
	if size := roundToPages(n); size > p.usable {
		if err := syscall.Mprotect(p.mapped[:size], syscall.PROT_READ|syscall.PROT_WRITE); err != nil {
			return nil, err
		}
		p.usable = size
	}
	return p.mapped[:n:n], nil
}

// release ends the range. Its bytes must not be used any longer.
func (p *pages) release() {
	if p != nil {
		_ = syscall.Munmap(p.mapped)
	}
}

func roundToPages(n int) int {
	size := os.Getpagesize()
	return (n + size - 1) / size * size
}
