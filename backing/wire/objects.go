package wire

// Paths of the object store.
const (
	PathGet  = "/objects/get"
	PathPut  = "/objects/put"
	PathList = "/objects/list"
)

// Get asks for an object.
type Get struct {
	Name string `json:"name"`
}

// Object answers Get, and asks for an object to be stored.
type Object struct {
	Name string `json:"name"`
	Data []byte `json:"data"`
}

// List asks for the names of objects.
type List struct {
	Prefix string `json:"prefix"`
}

// Names answers List.
type Names struct {
	Names []string `json:"names"`
}
