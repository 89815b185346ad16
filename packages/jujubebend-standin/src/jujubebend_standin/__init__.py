"""Small fakes of the platform: store, host list and worker."""
