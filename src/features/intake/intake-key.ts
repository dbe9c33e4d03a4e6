/** The container's name for the HTTP interface. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {Intake} from './intake.js';

/** Provided by the intake feature; the daemon opens and closes it. */
export const intakeKey = new ServiceKey<Intake>('intake');
