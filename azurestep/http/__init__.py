"""HTTP/1.1 over the library's parser: serving callers, asking servers."""
