/** The container's name for the status report. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {StatusReport} from './status-report.js';

/** Provided by the wiring module, since every feature may add to it. */
export const statusReportKey = new ServiceKey<StatusReport>('status-report');
