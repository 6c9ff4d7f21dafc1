import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ServiceCounter } from './service-counter.js';

test('service halves within a half-life, and reading it more often gives the same value', () => {
  const counter = new ServiceCounter(100, 0);
  counter.changeRate(0.5, 0);
  const steadyState = (0.5 * 100) / Math.LN2;
  assert.ok(Math.abs(counter.read(10_000) - steadyState) < 1e-6);
  counter.changeRate(-0.5, 10_000);
  assert.ok(Math.abs(counter.read(10_100) - steadyState / 2) < 1e-6);
  const readOften = new ServiceCounter(100, 0);
  readOften.changeRate(0.25, 0);
  for (let t = 0; t < 50; t++) readOften.changeRate(0, t);
  const readOnce = new ServiceCounter(100, 0);
  readOnce.changeRate(0.25, 0);
  assert.ok(Math.abs(readOften.read(50) - readOnce.read(50)) < 1e-9);
});
