package api

// MaxNameLength is the largest length of ids of programs and names of branches.
const MaxNameLength = 64

// ValidName tells whether name may be the id of a program or the name of a
// branch: letters, digits and . _ : - so that it stands in paths, headers and
// logs as it is.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	for _, character := range []byte(name) {
		if !validNameByte(character) {
			return false
		}
	}
	return true
}

func validNameByte(character byte) bool {
	switch {
	case 'a' <= character && character <= 'z', 'A' <= character && character <= 'Z', '0' <= character && character <= '9':
		return true
	}
	return character == '.' || character == '_' || character == ':' || character == '-'
}
