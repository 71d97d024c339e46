"""HTTP/1.1 server and client connections, based on httptools."""
