//! Recognises requests that crash backend servers.
