/** A bug injected on purpose to verify that the property test detects it. */
export type InjectedBug = 'none' | 'copies are not written' | 'joining registrars receive no records' | 'losses of unreachable peers are trusted';
