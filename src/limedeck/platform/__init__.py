"""The platform's services behind abstract classes, with one adapter a file."""
