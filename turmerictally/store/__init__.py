"""Access the platform: table service, object store, host list, weight store."""
