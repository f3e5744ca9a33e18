package api

// MaxNameLength is the maximum length of program ids and branch names, in bytes.
const MaxNameLength = 64

// ValidName reports whether name is a valid program id or branch name. Names consist of
// letters, digits and . _ : - so that paths, headers and logs need no escaping.
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
