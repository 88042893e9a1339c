"""Run an entry host on the users' platform."""

from turmerictally.platform import deployment

if __name__ == "__main__":
    deployment.main()
