package inbound

import "bytes"

const (
	// maxEmptyBytes is the number of carriage returns and line feeds that are skipped before a request. Some clients send one pair.
	maxEmptyBytes = 16
	// lineBytes is the memory that a header takes beside its bytes once it is parsed: an entry of a map that has been doubled, its name, and
	// a slice of values. It is the greatest value that was measured for heads with names of a few bytes.
	lineBytes = 160
)

// headScanner finds the end of a head. It ends as it does for net/http: with an empty line after the first line.
type headScanner struct {
	// scanned is the number of bytes that were scanned, and lineStart the start of the line that they end in.
	scanned   int
	lineStart int
	lines     int
}

// scan continues in data, which begins with the bytes that were scanned before, and returns the end of the head, 0 if there is none yet.
// It returns malformed if the first line is not that of a request.
func (s *headScanner) scan(data []byte) (end int, malformed bool) {
	for {
		i := bytes.IndexByte(data[s.scanned:], '\n')
		if i < 0 {
			s.scanned = len(data)

			return 0, false
		}
		line := data[s.lineStart : s.scanned+i]
		s.scanned += i + 1
		s.lineStart = s.scanned
		if s.lines > 0 && (len(line) == 0 || len(line) == 1 && line[0] == '\r') {
			return s.scanned, false
		}
		if s.lines == 0 && !isRequestLine(line) {
			return 0, true
		}
		s.lines++
	}
}

// isRequestLine reports whether net/http may accept the line as the first one of a request. The first byte of the line may be missing.
func isRequestLine(line []byte) bool {
	const version = "HTTP/x.y"
	line = bytes.TrimSuffix(line, []byte{'\r'})

	return bytes.Count(line, []byte{' '}) >= 2 && len(line) > len(version) && bytes.HasPrefix(line[len(line)-len(version):], []byte("HTTP/"))
}

// emptyPrefix returns the number of carriage returns and line feeds that data begins with.
func emptyPrefix(data []byte) (n int) {
	for n < len(data) && (data[n] == '\r' || data[n] == '\n') {
		n++
	}

	return n
}

// chunkScanner finds the end of a body in chunks.
type chunkScanner struct {
	state chunkState
	// left is the size of the chunk, or the number of its bytes that are left.
	left int64
	// empty is set at the start of a line of the trailers.
	empty bool
}

type chunkState int

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkData
	chunkDataEnd
	chunkTrailer
)

// scan continues in data and returns how many of its bytes belong to the body, and whether the body ends there. What is not in chunks is
// taken for an extension: the server refuses it.
func (s *chunkScanner) scan(data []byte) (n int, done bool) {
	for n < len(data) {
		switch s.state {
		case chunkData:
			skip := min(s.left, int64(len(data)-n))
			n += int(skip)
			if s.left -= skip; s.left == 0 {
				s.state = chunkDataEnd
			}

			continue
		case chunkSize, chunkExtension:
			s.scanSize(data[n])
		case chunkDataEnd:
			if data[n] == '\n' {
				s.state = chunkSize
			}
		case chunkTrailer:
			if data[n] == '\n' {
				if s.empty {
					*s = chunkScanner{}

					return n + 1, true
				}
				s.empty = true
			} else if data[n] != '\r' {
				s.empty = false
			}
		}
		n++
	}

	return n, false
}

// scanSize continues in the line with the size of a chunk.
func (s *chunkScanner) scanSize(b byte) {
	if b == '\n' {
		s.state = chunkData
		if s.left == 0 {
			s.state, s.empty = chunkTrailer, true
		}

		return
	}
	if s.state == chunkExtension {
		return
	}
	digit, ok := hexDigit(b)
	if !ok || s.left > 1<<50 {
		s.state = chunkExtension

		return
	}
	s.left = s.left<<4 | digit
}

func hexDigit(b byte) (digit int64, ok bool) {
	switch {
	case b >= '0' && b <= '9':
		return int64(b - '0'), true
	case b|0x20 >= 'a' && b|0x20 <= 'f':
		return int64(b|0x20-'a') + 10, true
	default:
		return 0, false
	}
}

// packetScanner finds the ends of packets in the frames of drpc: a byte with flags, three variable-length integers, of which the last one
// is the length of the data, and the data.
type packetScanner struct {
	field int
	shift uint
	value uint64
	left  uint64
	last  bool
	// pending is the number of bytes of the packet that is not complete yet.
	pending int64
}

// fields is the number of fields in front of the data of a frame.
const fields = 4

// scan continues in data.
func (s *packetScanner) scan(data []byte) {
	for len(data) > 0 {
		if s.field == fields {
			skip := min(s.left, uint64(len(data)))
			data = data[skip:]
			s.left -= skip
			s.pending += int64(skip)
		} else {
			s.scanField(data[0])
			data = data[1:]
			s.pending++
		}
		if s.field == fields && s.left == 0 {
			s.field = 0
			if s.last {
				s.pending = 0
			}
		}
	}
}

// scanField continues in the bytes in front of the data of a frame.
func (s *packetScanner) scanField(b byte) {
	if s.field == 0 {
		s.last = b&1 != 0
		s.field++

		return
	}
	if s.shift < 64 {
		s.value |= uint64(b&0x7f) << s.shift
	}
	s.shift += 7
	if b&0x80 != 0 {
		return
	}
	s.left = s.value
	s.field++
	s.shift, s.value = 0, 0
}
