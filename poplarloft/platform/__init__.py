"""Translation between the users' platform and this project's types.

Names, formats and calls only: nothing here decides, retries or waits for
anything but a socket.
"""
