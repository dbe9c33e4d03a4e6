/** Branded type of a target's incarnation. */
import type {Brand} from './brand.js';

/** Unix time in milliseconds at which a target started; a target that restarts keeps its id but loses its state. */
export type Incarnation = Brand<number, 'Incarnation'>;
