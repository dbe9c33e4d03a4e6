/** Nominal typing for identifiers and quantities that share a primitive representation. */

/** A primitive that carries a compile-time name, so that two kinds of identifier can't be mixed up. */
export type Brand<Primitive, Name extends string> = Primitive & {readonly __brand: Name};
