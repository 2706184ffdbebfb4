"""Commands of ``limedeck-lab``."""
