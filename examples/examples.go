// Package examples embeds the example settings of both deployments and the example
// presets. The demo and tests use them, which keeps them valid.
package examples

import "embed"

//go:embed *.jsonc presets/*.jsonc
var files embed.FS

// Document is one example preset.
type Document struct {
	Name string
	Text []byte
}

// SignlineSettings returns the settings of a gateway VM of Signline.
func SignlineSettings() []byte {
	return read("signline.jsonc")
}

// VaihtosiltaSettings returns the settings of a gateway VM of Vaihtosilta.
func VaihtosiltaSettings() []byte {
	return read("vaihtosilta.jsonc")
}

// Presets returns the presets for ordinary days, peaks and maintenance.
func Presets() []Document {
	var documents []Document
	for _, name := range []string{"ordinary", "peak", "maintenance"} {
		documents = append(documents, Document{Name: name, Text: read("presets/" + name + ".jsonc")})
	}
	return documents
}

func read(name string) []byte {
	data, err := files.ReadFile(name)
	if err != nil {
		// The files are embedded at build time.
		panic(err)
	}
	return data
}
