/** A fault put in on purpose, to see that the checks notice it. */
export type PlantedBug = 'none' | 'copies are not written' | 'entrants inherit nothing' | 'losses out of touch are trusted';
